"""Emulated platform with each gateway in its own process."""

import asyncio
import contextlib
import os
import signal
import socket
import time
from collections.abc import Awaitable, Callable, Sequence
from http import HTTPStatus
from pathlib import Path

import aiohttp

from boragespring.child_processes import ProcessSet, free_ports
from boragespring.faults.relay import Relay
from boragespring.platform.emulator import EmulatedPlatform
from boragespring.platform.names import READY_PATH
from boragespring.platform.soak.sent_signal import SentSignal
from boragespring.platform.soak.shape import RunShape
from boragespring.platform.soak.soak_gateway import FAILED_CHECKS_MAX, SoakGateway
from boragespring.platform.soak.suspension import Suspension

__all__ = ["SoakDeployment"]

LOOPBACK = "127.0.0.1"
CATALOG_DELAY_S = 2.0
READY_POLL_INTERVAL_S = 0.1
EXIT_CHECK_S = 0.01
READY_CHECK_TIMEOUT_S = 0.5
START_TIMEOUT_S = 15.0
#: Number of loopback subnets. Concurrent runs use different ones.
NETWORKS = 250
#: Host and port that a run keeps bound in its subnet, so that no other run takes it.
RESERVATION_HOST, RESERVATION_PORT = 254, 7199

SETTINGS_TEMPLATE = """node = "{name}"
zone = "zone-a"
region = "region"
ip_address = "{host}"
internal_ports = [{peers}, {peers}]
contracts = ["health"]
[listen]
front = "{host}:{callers}"
ready = "{host}:{ready}"
[bounds]
configuration_ms = {catalog_delay_ms}
grace_s = {grace_s}
[platform]
address = "{store}"
"""


class LoopbackNetwork:
    """Loopback subnet that no other run on this machine uses until it is closed.

    Parameters
    ----------
    first : int
        Number of the subnet to try first.
    """

    def __init__(self, first: int) -> None:
        self._reservation = socket.socket()
        for offset in range(NETWORKS):
            self.number = (first + offset) % NETWORKS
            try:
                self._reservation.bind((self.host(RESERVATION_HOST), RESERVATION_PORT))
            except OSError:
                # Another run uses it.
                continue
            return
        self.close()
        raise RuntimeError("all loopback subnets are in use")

    def host(self, number: int) -> str:
        """Return an address in the subnet."""
        return f"127.77.{self.number}.{number}"

    def close(self) -> None:
        """Let other runs use the subnet."""
        self._reservation.close()


class SoakDeployment:
    """Context manager that runs the store, the servers and the gateways of a run.

    Parameters
    ----------
    network : int
        Number of the loopback subnet whose addresses the gateways use; the next
        one that is free if another run uses it.
    directory : Path
        Directory for settings and log files.
    shape : RunShape
        Size and speed.

    Attributes
    ----------
    platform : EmulatedPlatform
        Store and backend servers.
    gateways : list of SoakGateway
        Gateways and the relays through which they connect to the store.
    """

    def __init__(
        self, network: int, directory: Path, shape: RunShape | None = None
    ) -> None:
        self.shape = shape or RunShape()
        self._network = LoopbackNetwork(network)
        self._directory = directory
        self._processes = ProcessSet(directory)
        self._poll_task: asyncio.Task[None] | None = None
        self.platform = EmulatedPlatform(
            engine_spec=self.shape.engine_spec,
            routes=self.shape.routes,
            keys={"coop": ["key-1", "key-2"], "other": ["key-3"]},
        )
        self.gateways: list[SoakGateway] = []

    async def __aenter__(self) -> "SoakDeployment":
        await self.platform.start(self.shape.engines, self.shape.services)
        for service in self.platform.services.values():
            service.execution_s = self.shape.execution_s
        for number in range(self.shape.gateways):
            await self._add_gateway(number)
        self._poll_task = asyncio.create_task(self._poll_readiness())
        await self.wait_ready()
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._poll_task is not None:
            self._poll_task.cancel()
        await self._processes.__aexit__(None, None, None)
        for gateway in self.gateways:
            await gateway.relay.stop()
        await self.platform.stop()
        self._network.close()

    async def wait_ready(
        self,
        timeout_s: float = START_TIMEOUT_S,
        gateways: Sequence[SoakGateway] = (),
    ) -> None:
        """Wait until gateways are in rotation; by default all.

        Raises
        ------
        TimeoutError
            If that takes longer than `timeout_s` seconds.
        """
        async with asyncio.timeout(timeout_s):
            while not all(  # noqa: ASYNC110
                gateway.is_in_rotation for gateway in gateways or self.gateways
            ):
                await asyncio.sleep(READY_POLL_INTERVAL_S)

    def select_gateway(self, number: int) -> SoakGateway:
        """Return a gateway in rotation, or any gateway if none is.

        Parameters
        ----------
        number : int
            Index of the gateway, taken modulo the number of candidates.
        """
        candidates = [
            gateway for gateway in self.gateways if gateway.is_in_rotation
        ] or self.gateways
        return candidates[number % len(candidates)]

    async def start(self, gateway: SoakGateway) -> None:
        """Start the process of a gateway."""
        gateway.start_count += 1
        gateway.failed_checks = FAILED_CHECKS_MAX
        gateway.has_been_ready = False
        await self._processes.start(
            gateway.process_name,
            "boragespring.cli.gateway",
            "--settings",
            str(gateway.settings_path),
        )

    async def stop(
        self,
        gateway: SoakGateway,
        down_s: float = 0.0,
        during: Callable[[SoakGateway], Awaitable[None]] | None = None,
    ) -> None:
        """Stop a gateway with SIGTERM, record its exit code and restart it.

        Parameters
        ----------
        gateway : SoakGateway
            Gateway to stop.
        down_s : float
            Time in seconds between its end and the restart.
        during : callable or None
            Does something else to the process in the meantime.
        """
        async with gateway.disturbed():
            await self._note_own_end(gateway)
            was_ready = gateway.has_been_ready
            self.signal(gateway, signal.SIGTERM)
            code = await self._wait_stopped(gateway, during if was_ready else None)
            # Until the signal handler is installed, SIGTERM itself ends the process.
            if was_ready or code != -signal.SIGTERM:
                gateway.exit_codes.append(code)
            await asyncio.sleep(down_s)
            await self.start(gateway)
        gateway.stops.append(gateway.disturbances[-1])

    async def _wait_stopped(
        self,
        gateway: SoakGateway,
        during: Callable[[SoakGateway], Awaitable[None]] | None,
    ) -> int:
        beside = [asyncio.ensure_future(during(gateway))] if during else []
        grace_s, name = self.shape.grace_s, gateway.process_name
        try:
            if not self.shape.is_killed_after_grace:
                return await self._processes.wait(name, 2 * grace_s)
            return await self._processes.wait(name, grace_s)
        except TimeoutError:
            if not self.shape.is_killed_after_grace:
                raise
            # If it ends just now, `send_signal` of asyncio would lose its exit code.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._processes.pid(name), signal.SIGKILL)
            return await self._processes.wait(name)
        finally:
            for task in beside:
                task.cancel()
            await asyncio.gather(*beside, return_exceptions=True)

    async def kill(self, gateway: SoakGateway, down_s: float) -> None:
        """Kill a gateway and restart it after `down_s` seconds."""
        async with gateway.disturbed():
            await self._note_own_end(gateway)
            self.signal(gateway, signal.SIGKILL)
            await self._processes.wait(gateway.process_name)
            await asyncio.sleep(down_s)
            await self.start(gateway)

    async def freeze(self, gateway: SoakGateway, duration_s: float) -> None:
        """Suspend the process of a gateway for `duration_s` seconds."""
        async with gateway.disturbed():
            await self.suspend(gateway, duration_s)

    async def suspend(self, gateway: SoakGateway, duration_s: float) -> None:
        """Suspend the process of a gateway as a part of another fault."""
        began_at_s = time.monotonic()
        suspension = Suspension(began_at_s, began_at_s + duration_s)
        gateway.suspensions.append(suspension)
        self.signal(gateway, signal.SIGSTOP)
        try:
            await asyncio.sleep(duration_s)
            self.signal(gateway, signal.SIGCONT)
        finally:
            # It ends early if the process is killed.
            suspension.ended_at_s = time.monotonic()

    def signal(self, gateway: SoakGateway, number: signal.Signals) -> None:
        """Send a signal to the process of a gateway, unless it has ended."""
        try:
            self._processes.signal(gateway.process_name, number)
        except ProcessLookupError:
            return
        if number in (signal.SIGTERM, signal.SIGHUP):
            sent = SentSignal(
                gateway.name, gateway.start_count, number, time.monotonic()
            )
            gateway.signals.append(sent)

    async def note_own_ends(self) -> None:
        """Record which processes do not run though they should."""
        await asyncio.gather(*map(self._note_own_end, self.gateways))

    async def _note_own_end(self, gateway: SoakGateway) -> None:
        with contextlib.suppress(TimeoutError):
            code = await self._processes.wait(gateway.process_name, EXIT_CHECK_S)
            gateway.own_ends.append(code)

    async def _add_gateway(self, number: int) -> None:
        host = self._network.host(number + 1)
        callers, ready, peers = free_ports(3)
        relay = Relay(LOOPBACK, self.platform.store.port)
        await relay.start()
        path = self._directory / f"gateway-{number}.toml"
        text = SETTINGS_TEMPLATE.format(
            name=f"gateway-{number}",
            host=host,
            peers=peers,
            callers=callers,
            ready=ready,
            catalog_delay_ms=CATALOG_DELAY_S * 1000,
            grace_s=self.shape.grace_s,
            store=f"{LOOPBACK}:{relay.port}",
        )
        path.write_text(text, encoding="utf-8")
        gateway = SoakGateway(f"gateway-{number}", host, callers, ready, path, relay)
        self.gateways.append(gateway)
        await self.start(gateway)

    async def _poll_readiness(self) -> None:
        timeout = aiohttp.ClientTimeout(total=READY_CHECK_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.gather(
                    *(
                        self._check_readiness(session, gateway)
                        for gateway in self.gateways
                    )
                )
                await asyncio.sleep(READY_POLL_INTERVAL_S)

    async def _check_readiness(
        self, session: aiohttp.ClientSession, gateway: SoakGateway
    ) -> None:
        url = f"http://{gateway.host}:{gateway.ready_port}{READY_PATH}"
        try:
            async with session.get(url) as response:
                is_ready = response.status == HTTPStatus.OK
        except (aiohttp.ClientError, TimeoutError):
            is_ready = False
        gateway.failed_checks = 0 if is_ready else gateway.failed_checks + 1
        gateway.has_been_ready |= is_ready
