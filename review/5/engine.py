"""Model worker whose runs can be copied to another one and go on there."""

import asyncio
import json
import socket
import struct
import time

from harness import Received, Worker, answer_report, encode_head, event, route

EVENTS, GAP_S = 500, 0.02
TOKENS_PER_EVENT = 4
BUDGET_MS = 39_000
PLAN = route(
    "/plan/",
    "streaming",
    "models",
    39_000,
    latency_goal_ms=1800,
    gap_target_ms=180,
    sticky=True,
)


def plan_headers(number: int) -> dict[str, str]:
    """Return the headers of a request whose prompt has a part of its own."""
    return {
        "Boragespring-Model": "m",
        "Boragespring-Token-Counts": f"3079,{TOKENS_PER_EVENT * EVENTS}",
        "Boragespring-Prompt-Prefix": f"5c1e07a2:79,{number:08x}:3000",
    }


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a channel with a TCP reset."""
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Engine(Worker):
    """Model worker whose runs can be copied. It goes on when a channel closes."""

    def __init__(self, name: str, record, copy_s: float) -> None:
        super().__init__(name, "models", self._handle, record)
        self._copy_s = copy_s
        self.works_from_s: dict[str, float] = {}
        self.works_until_s: dict[str, float] = {}
        self.writers: dict[str, asyncio.StreamWriter] = {}
        self.made: dict[str, int] = {}
        self.stopped: set[str] = set()
        self.copies: dict[str, int] = {}
        self.peers: dict[str, Engine] = {}
        self.copy_calls = 0
        self.second_copy = asyncio.Event()
        self.leaves_at_s: float | None = None

    async def _handle(self, _: Worker, request: Received, writer) -> None:
        if request.target == "/report":
            await answer_report(writer, self.leaves_at_s)
        elif request.target == "/kv-move":
            await self._move(json.loads(request.body), writer)
        else:
            await self._generate(request, writer)

    async def _move(self, call: dict, writer) -> None:
        run_id, is_last = call["id"], bool(call.get("last"))
        self.copy_calls += 1
        self.record(
            f"{self.name}: kv-move of {run_id} to {call['target']} last={is_last}"
        )
        if run_id not in self.made or run_id in self.works_until_s:
            writer.write(encode_head(404, {"Content-Length": "0"}))
            return
        if is_last:
            self.stopped.add(run_id)
        if self.copy_calls == 2:
            self.second_copy.set()
        await asyncio.sleep(self._copy_s)
        target = self.peers.get(call["target"])
        handle = {"handle": f"h-{run_id}", "created": self.made[run_id]}
        self.copies[f"h-{run_id}"] = self.made[run_id]
        if target is not None:
            target.copies[f"h-{run_id}"] = self.made[run_id]
        body = json.dumps(handle).encode()
        status = 503 if target is None else 200
        writer.write(encode_head(status, {"Content-Length": str(len(body))}) + body)

    async def _generate(self, request: Received, writer) -> None:
        run_id = request.request_id
        source = request.headers.get("kv-from", "")
        if source and self.copies.pop(source.partition("/")[2], None) is None:
            self.record(f"{self.name}: no copy for {run_id}, not run")
            head = {"Boragespring-Not-Executed": "1", "Content-Length": "0"}
            writer.write(encode_head(503, head))
            return
        self.works_from_s.setdefault(run_id, time.monotonic())
        self.writers[run_id] = writer
        self.stopped.discard(run_id)
        self.works_until_s.pop(run_id, None)
        self.made[run_id] = int(request.headers.get("last-event-id") or 0)
        self.record(f"{self.name}: works on {run_id} after event {self.made[run_id]}")
        headers = {
            **self.signed(request, 0),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(encode_head(200, headers))
        output_tokens = int(request.headers["boragespring-token-counts"].split(",")[1])
        events = -(-output_tokens // TOKENS_PER_EVENT)
        while self.made[run_id] < events and run_id not in self.stopped:
            await asyncio.sleep(GAP_S)
            self.made[run_id] += 1
            data = event(self.made[run_id])
            if not writer.is_closing():
                writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        if run_id not in self.stopped and not writer.is_closing():
            writer.write(b"0\r\n\r\n")
        self.works_until_s[run_id] = time.monotonic()
        self.record(f"{self.name}: ends its work on {run_id} at {self.made[run_id]}")

    def lose_answer(self, run_id: str) -> None:
        """Reset the channel of a run, which goes on."""
        reset(self.writers[run_id])
        self.record(f"{self.name}: the answer to {run_id} is lost (reset)")
