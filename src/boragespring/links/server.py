"""Server side of links."""

import asyncio

from absl import logging

from boragespring.links.context import LinkContext
from boragespring.links.link import Link
from boragespring.links.messages import Identity
from boragespring.settings import AddressSettings

__all__ = ["LinkServer"]


class LinkServer:
    """Accept links from other processes and serve each one in its own task.

    Parameters
    ----------
    address : AddressSettings
        Address to listen on.
    context : LinkContext
        Context shared by all links of the process.

    Attributes
    ----------
    links : set of Link
        Connections that are being served.
    port : int
        Port in use; 0 before `start`.
    """

    def __init__(
        self,
        address: AddressSettings,
        context: LinkContext,
    ) -> None:
        self._address = address
        self._context = context
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.links: set[Link] = set()
        self.port = 0

    @property
    def identity(self) -> Identity:
        """Identity of this process."""
        return self._context.local_identity

    async def start(self) -> None:
        """Open the listening socket and set `port`."""
        self._server = await asyncio.start_server(
            self._serve, self._address.host, self._address.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and close all links."""
        if self._server is not None:
            self._server.close()
        for link in tuple(self.links):
            link.close("stopping")
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        link = Link(reader, writer, self._context)
        self.links.add(link)
        try:
            await link.run()
        finally:
            self.links.discard(link)
            self._tasks.discard(task)
            if link.close_reason:
                logging.info("event=link_closed reason=%r", link.close_reason)
