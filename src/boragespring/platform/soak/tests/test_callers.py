"""What callers of a soak run record of a gateway that never answers."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from boragespring.http.tests.raw_server import get_port, listening
from boragespring.platform.soak import callers, kept_callers
from boragespring.platform.soak.soak_gateway import SoakGateway


@pytest.fixture
async def deployment():
    async def accept(reader, writer):
        await reader.read()
        writer.close()

    async with listening(accept) as listener:
        port = get_port(listener)
        gateway = SoakGateway("g", "127.0.0.1", port, 0, None, None, failed_checks=0)
        yield SimpleNamespace(
            gateways=[gateway],
            select_gateway=lambda _: gateway,
            platform=SimpleNamespace(
                host="h",
                crashing_parts=(),
                crashing=SimpleNamespace(points=(), line_points=()),
            ),
        )


# Guards against requests without an end that were recorded as ended, so that no run
# reported them.
async def test_callers_report_requests_that_never_end(deployment, monkeypatch):
    for module in (callers, kept_callers):
        monkeypatch.setattr(module, "TIMEOUT_TOLERANCE_S", 0.1)
    monkeypatch.setattr(callers, "STREAM_TIME_REMAINING_S", 0.2)
    monkeypatch.setattr(callers, "BUFFERED_TIME_REMAINING_S", 0.2)
    monkeypatch.setattr(kept_callers, "TIME_REMAINING_S", (0.2,))
    usual = callers.Callers(deployment, random.Random(1), requests_per_s=40.0)
    kept = kept_callers.KeptCallers(deployment, random.Random(1))
    asyncio.get_running_loop().call_later(0.2, kept.end)
    await asyncio.gather(usual.run(0.2), kept.run(per_gateway=1))
    patient = [each for each in usual.records if not each.disconnects_early]
    for record in (*patient, *kept.records):
        assert not record.is_ended
    assert patient
    assert kept.records
