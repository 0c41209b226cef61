"""Server that writes bytes as they are."""

import asyncio
import contextlib


@contextlib.asynccontextmanager
async def raw_server(reply):
    """Start a server; yield its port.

    `reply` returns the bytes to write, given the method, the target and the headers of
    a request. The connection stays open, as a reply without an end must not look like
    one that ends.
    """

    writers = set()

    async def serve(reader, writer):
        writers.add(writer)
        # A gateway also opens connections that carry nothing.
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                line, *lines = head.rstrip("\r\n").split("\r\n")
                method, target, _ = line.split(" ")
                headers = dict(each.split(": ", 1) for each in lines)
                await reader.readexactly(int(headers.get("Content-Length", "0")))
                writer.write(reply(method, target, headers))
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
        for writer in writers:
            writer.transport.abort()
        # A writer that outlives its loop raises in CPython 3.11.6.
        await asyncio.sleep(0)


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
