"""A faulty worker sends bytes that are no answer, and the caller gets them as one."""

import asyncio
import random
import re
from collections import Counter
from pathlib import Path

from rig_2 import Deployment, PlainWorker, encode_request, new_id, run_case

DURATION_S = 40.0
INTERVAL_S = 0.1
#: Share of the answers that the faulty worker spoils (`garble`).
SPOILED_SHARE = 0.02
BUDGET_MS = 1500
TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")


def spoiled(kind, request_id):
    signed = f"Boragespring-Attempt-Id: {request_id}\r\nBoragespring-Response-Signature: signed\r\n"
    return {
        "switch": f"HTTP/1.1 101 Switching Protocols\r\n{signed}\r\n",
        "zero": f"HTTP/1.1 000 Reason\r\n{signed}Content-Length: 2\r\n\r\nno",
    }[kind].encode()


def why_no_answer(data):
    """Return why received bytes are no final answer of HTTP/1.1; empty if they are one."""
    head, end, _ = data.partition(b"\r\n\r\n")
    if not end:
        return "no complete head"
    line, *fields = head.decode("latin-1").split("\r\n")
    if not re.match(r"HTTP/1\.1 [0-9]{3} ", line):
        return f"status line {line!r}"
    if not 200 <= int(line.split(" ")[1]) <= 599:
        return f"no final status: {line!r}"
    for field in fields:
        if not TOKEN.match(field.partition(":")[0]):
            return f"field {field!r}"
    return ""


async def receive(gateway, data, timeout_s):
    received = b""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(gateway.host, gateway.front)
            writer.write(data)
            while piece := await reader.read(4096):
                received += piece
                length = re.search(rb"\r\nContent-Length: ([0-9]+)\r\n", received)
                head_end = received.find(b"\r\n\r\n")
                if length and head_end >= 0 and len(received) >= head_end + 4 + int(length[1]):
                    break
    except (TimeoutError, OSError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return received


async def case(record, has_trouble):
    async with Deployment(record) as deployment:
        spoiled_by_id = {}
        kinds = iter(["switch", "zero"] * 1000)
        count = 0

        def reply(request):
            nonlocal count
            count += 1
            if not has_trouble or count % round(1 / SPOILED_SHARE):
                return None
            request_id = request.headers["boragespring-attempt-id"]
            spoiled_by_id[request_id] = next(kinds)
            record.add("spoiled", id=request_id, kind=spoiled_by_id[request_id])
            return spoiled(spoiled_by_id[request_id], request_id)

        for number in range(3):
            worker = PlainWorker(deployment, f"desk-{number}", work_s=0.02)
            if number == 0:
                worker.reply = reply
            worker.on_run = lambda worker, request: record.add(
                "ran", worker=worker.server_id, id=request.headers["boragespring-attempt-id"]
            )
            await worker.start()
        await deployment.start()
        began_s, tasks, wrong = record.now_s(), [], Counter()
        answered = 0

        async def send():
            nonlocal answered
            request_id = new_id()
            gateway = random.choice(deployment.gateways)
            data = encode_request("POST", f"/book/{request_id}", request_id, BUDGET_MS, b"book")
            record.add("sent", id=request_id, gateway=gateway.name)
            received = await receive(gateway, data, BUDGET_MS / 1000 + 0.5)
            why = why_no_answer(received)
            record.add("answered", id=request_id, bytes=len(received), why=why or "sound")
            answered += not why
            if why:
                wrong[spoiled_by_id.get(request_id, "not spoiled"), why] += 1

        while record.now_s() - began_s < DURATION_S:
            tasks += [asyncio.create_task(send()) for _ in range(4)]
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*tasks)
        record.say(f"answers that the worker spoiled: {Counter(spoiled_by_id.values())}")
        record.say(f"sound answers that callers got: {answered}")
        record.say(f"bytes that callers got and that are no answer: {sum(wrong.values())}")
        for (kind, why), number in wrong.items():
            record.say(f"  {number} x {kind}: {why}")
        record.say(f"processes that ended by themselves: {deployment.dead()}")
        return bool(wrong)


run_case(Path(__file__).parent, case)
