"""Client side of a link, which reconnects automatically."""

import asyncio
import random
import time

from absl import logging

from boragespring.links.context import LinkContext
from boragespring.links.errors import LinkClosedError
from boragespring.links.link import Link

__all__ = ["LinkDialer"]


class LinkDialer:
    """Connect to one peer and reconnect whenever the link closes.

    Parameters
    ----------
    host, port : str and int
        Address of the port on which the peer accepts links.
    context : LinkContext
        Context shared by all links of the process.
    expected_name : str
        Name that the peer must report; empty for any. The address may have been
        reassigned to another instance since the instance list was read.

    Attributes
    ----------
    down_since_s : float
        Monotonic time at which the last link or connection attempt ended, or at
        which the dialer was created.
    """

    def __init__(
        self,
        host: str,
        port: int,
        context: LinkContext,
        expected_name: str = "",
    ) -> None:
        self._expected_name = expected_name
        self.host = host
        self.port = port
        self._context = context
        self._link: Link | None = None
        self._changed = asyncio.Event()
        self.down_since_s = time.monotonic()

    @property
    def link(self) -> Link | None:
        """The link, or None if it is not up."""
        if self._link is not None and self._link.is_up:
            return self._link
        return None

    async def wait_for_link(self, timeout_s: float) -> Link:
        """Return the link, waiting until it is up.

        Raises
        ------
        LinkClosedError
            The link did not come up in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    link = self.link
                    if link is not None:
                        return link
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError as error:
            address = f"{self.host}:{self.port}"
            raise LinkClosedError(
                f"no link to {address} within {timeout_s} s"
            ) from error

    async def run(self) -> None:
        """Maintain the link until cancelled."""
        delay_s = self._context.settings.reconnect_delay_s
        while True:
            started_s = time.monotonic()
            await self._connect_once()
            self.down_since_s = time.monotonic()
            if (
                self.down_since_s - started_s
                > self._context.settings.heartbeat_deadline_s
            ):
                delay_s = self._context.settings.reconnect_delay_s
            await asyncio.sleep(delay_s * random.uniform(0.5, 1.5))
            delay_s = min(delay_s * 2, self._context.settings.reconnect_delay_max_s)

    async def _connect_once(self) -> None:
        try:
            async with asyncio.timeout(self._context.settings.connect_timeout_s):
                reader, writer = await asyncio.open_connection(self.host, self.port)
        except (OSError, TimeoutError):
            self._context.metrics.failed_dials.inc()
            return
        except (ValueError, OverflowError) as error:
            # The address itself cannot be used.
            self._context.metrics.failed_dials.inc()
            logging.warning("event=dial_failed host=%r reason=%r", self.host, error)
            return
        link = Link(
            reader,
            writer,
            self._context,
            self._expected_name,
        )
        self._link = link
        up_task = asyncio.create_task(self._notify_up(link))
        try:
            await link.run()
        finally:
            up_task.cancel()
            self._link = None
            self._changed.set()
            logging.info(
                "event=link_down peer=%s:%d reason=%r",
                self.host,
                self.port,
                link.close_reason,
            )

    async def _notify_up(self, link: Link) -> None:
        await link.wait_until_up()
        self._changed.set()
