"""Tests of starting a deployment whose daemons can be disconnected."""

import pytest

from boragespring.faults import FaultDeployment, deployment


class UnlinkedDeployment(FaultDeployment):
    """Deployment whose agents reset all links."""

    async def start_agent(self, name, zone, server):
        await super().start_agent(name, zone, server)
        self.relays[name].resets = True


async def test_waiting_for_entries_that_never_get_ready_fails(monkeypatch):
    monkeypatch.setattr(deployment, "READY_TIMEOUT_S", 0.3, raising=False)
    async with UnlinkedDeployment() as running:
        with pytest.raises(TimeoutError, match="entry-0 is not ready"):
            await running.wait_ready()
