"""Fixtures of the platform's tests."""

import aiohttp
import pytest


@pytest.fixture
async def session():
    async with aiohttp.ClientSession(auto_decompress=False) as opened:
        yield opened
