"""Server that writes bytes as they are."""

import asyncio
import contextlib

#: What ends the service of a connection, besides its errors.
CONNECTION_ENDS = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)


@contextlib.asynccontextmanager
async def listening(serve):
    """Serve the connections to a free port; yield the listener.

    At the end no connection is left open, whether its `serve` has ended, is at work or
    has not begun: in CPython 3.11.6 a writer that outlives its loop raises. Errors of
    `serve` are raised then, but for those of connections that break.
    """
    writers, tasks = [], []

    def accept(reader, writer):
        writers.append(writer)
        tasks.append(asyncio.create_task(serve(reader, writer)))

    listener = await asyncio.start_server(accept, "127.0.0.1", 0)
    try:
        yield listener
    finally:
        listener.close()
        for task in tasks:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        for writer in writers:
            writer.transport.abort()
        await asyncio.sleep(0)
        errors = [
            result
            for result in results
            if isinstance(result, BaseException)
            and not isinstance(result, CONNECTION_ENDS)
        ]
        if errors:
            raise BaseExceptionGroup("errors of a server", errors)


def get_port(listener):
    """Return the port of a listener."""
    return listener.sockets[0].getsockname()[1]


async def read_head(reader):
    """Return the method, the target and the headers of the next request."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    line, *lines = head.rstrip("\r\n").split("\r\n")
    method, target, _ = line.split(" ")
    return method, target, dict(each.split(": ", 1) for each in lines)


@contextlib.asynccontextmanager
async def raw_server(reply):
    """Start a server; yield its port.

    `reply` returns the bytes to write, given the method, the target and the headers of
    a request. The connection stays open, as a reply without an end must not look like
    one that ends.
    """

    async def serve(reader, writer):
        # A gateway also opens connections that carry nothing.
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                method, target, headers = await read_head(reader)
                await reader.readexactly(int(headers.get("Content-Length", "0")))
                writer.write(reply(method, target, headers))
                await writer.drain()
        writer.close()

    async with listening(serve) as listener:
        yield get_port(listener)


@contextlib.asynccontextmanager
async def endless_server(beginning, piece, create_fields=lambda headers: ""):
    """Start a server that replies with a piece again and again; yield its port.

    `create_fields` returns the lines that take the place of ``{fields}``, given the
    headers of a request.
    """

    async def reply(reader, writer):
        # A gateway also opens connections that carry nothing.
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            _, _, headers = await read_head(reader)
            fields = create_fields(headers).encode()
            writer.write(beginning.replace(b"{fields}", fields))
            while True:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)
        writer.transport.abort()

    async with listening(reply) as listener:
        yield get_port(listener)


def replies_with(head, body, create_fields=lambda headers: ""):
    """Return a function for `raw_server` that replies to all requests alike.

    `create_fields` returns the lines that take the place of ``{fields}``, given the
    headers of a request.
    """
    length = f"Content-Length: {len(body)}\r\n"
    framed = head.replace("Content-Length: 2\r\n", length)

    def reply(method, target, headers):
        return framed.replace("{fields}", create_fields(headers)).encode() + body

    return reply
