"""A model worker in trouble sends blank lines without end in the bodies of streams."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig_3 import OrdinaryCalls, Record, Rig, request_bytes, run_case  # noqa: E402

from boragespring.platform.emulator.catalog import RouteSpec  # noqa: E402

ROUTES = (
    RouteSpec("/plan/", "streaming", "models", timeout_ms=39_000),
    RouteSpec("/look/", "idempotent", "desk", timeout_ms=1_500, attempts=2),
)
#: Model workers, of which one is in trouble.
MODEL_WORKERS = 3
STREAMS = 36
EVENTS = 300
EVENT_INTERVAL_S = 0.05
#: Time after the start of the first stream at which the trouble begins.
TROUBLE_AFTER_S = 4.5
BLANK_LINES = b"\n" * 16384


class ModelWorker:
    """Model worker that streams events; in trouble, it goes on with blank lines.

    Attributes
    ----------
    is_in_trouble : bool
        Whether all its streams send blank lines, without pause or end.
    """

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.is_in_trouble = False
        self.streams = 0
        self._record = record
        self._server: asyncio.Server | None = None

    async def start(self) -> int:
        """Start to listen; return the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._answer(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The gateway has closed the connection, or the case ends.
            pass
        finally:
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:])
        }
        if lines[0].startswith("GET /report"):
            body = b'{"state":"ready","running":0,"waiting":0,"kv_cache_used":0,"kv_cache_total":34272}'
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
            )
            await writer.drain()
            return
        run_id = fields["boragespring-attempt-id"]
        self.streams += 1
        self._record.add(f"{self.name} runs {run_id}")
        writer.write(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Boragespring-Attempt-Id: {run_id}\r\n"
            "Boragespring-Response-Signature: signed\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(1, EVENTS + 1):
            if self.is_in_trouble:
                break
            _write_chunk(writer, b'id: %d\ndata: {"n": %d}\n\n' % (number, number))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        while self.is_in_trouble:
            _write_chunk(writer, BLANK_LINES)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(b"%x\r\n" % len(data) + data + b"\r\n")


async def _read_stream(rig: Rig, record: Record, number: int) -> None:
    gateway = rig.gateways[0]
    reader, writer = await asyncio.open_connection(gateway.ip, gateway.front)
    headers = {
        "Boragespring-Model": "m",
        "Boragespring-Token-Counts": "200,800",
        "Boragespring-Prompt-Prefix": f"5c1e07a2:79,{number:x}:121",
    }
    writer.write(
        request_bytes("POST", "/plan/a", f"plan-{number}", b"{}", headers, 39_000)
    )
    received = 0
    try:
        while data := await reader.read(65536):
            received += len(data)
            if data.endswith(b"0\r\n\r\n"):
                break
    except OSError as error:
        record.add(f"plan-{number}: {error!r}")
    finally:
        record.add(f"plan-{number}: {received} bytes received")
        writer.close()


async def _case(record: Record, has_trouble: bool) -> bool:
    limits = {"header_bytes": 16384, "body_bytes": 4194304}
    async with Rig(routes=ROUTES, limits=limits) as rig:
        workers = []
        for number in range(MODEL_WORKERS):
            worker = ModelWorker(f"model-{number}", record)
            rig.platform.register(worker.name, "models", await worker.start(), 24)
            workers.append(worker)
        for number in range(3):
            await rig.platform.add_service(f"desk-{number}")
        rig.platform.publish_catalog()
        await rig.start_gateways()
        streams = []
        for number in range(STREAMS):
            streams.append(asyncio.create_task(_read_stream(rig, record, number)))
            await asyncio.sleep(0.1)
        await asyncio.sleep(TROUBLE_AFTER_S - 0.1 * STREAMS)
        workers[0].is_in_trouble = has_trouble
        record.add(f"{workers[0].name} is in trouble from now on: {has_trouble}")
        calls = OrdinaryCalls(rig.gateways[0], record, "/look/a")
        await calls.run(per_s=6, for_s=10)
        record.add(f"ready at the end: {await rig.gateways[0].is_ready()}")
        for worker in workers:
            record.add(f"{worker.name}: {worker.streams} streams")
        for stream in streams:
            stream.cancel()
        await asyncio.gather(*streams, return_exceptions=True)
        return calls.breaks_timeout()


if __name__ == "__main__":
    run_case(_case)
