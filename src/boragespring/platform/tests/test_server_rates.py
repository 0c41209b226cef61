"""Servers that name the rate of requests that they take."""

import asyncio

import pytest

from boragespring.platform.tests.support import (
    deployment,
    fetch_status,
    log_records,
)


@pytest.mark.parametrize("text", ["nonsense", "-1", "inf", "nan"])
async def test_rate_that_is_no_usable_number_is_logged_and_ignored(session, text):
    async with deployment(services=1) as platform:
        platform.services["desk-0"].rate_limit = text
        for number in range(3):
            process = platform.gateways[0]
            assert await fetch_status(session, process, request_id=f"r{number}") == 200
        (record, *_) = log_records(process, "rate_limit_unreadable")
        assert record.value == text
        assert not log_records(process, "rate_limit")


async def test_rate_is_logged_when_it_is_named_and_when_it_ends(session):
    async with deployment(services=1) as platform:
        process, service = platform.gateways[0], platform.services["desk-0"]
        service.rate_limit = "1000"
        await fetch_status(session, process, request_id="r1")
        service.rate_limit = ""
        await asyncio.sleep(0.05)
        await fetch_status(session, process, request_id="r2")
        rates = [record.rate_per_s for record in log_records(process, "rate_limit")]
        assert rates == [1000.0, None]
