"""Fixtures for the tests of the platform adapter."""

import aiohttp
import pytest


@pytest.fixture
async def session():
    async with aiohttp.ClientSession(auto_decompress=False) as opened:
        yield opened
