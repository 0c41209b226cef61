"""Prompts with one part, behind 33 others, that crashes each engine that answers it."""

import asyncio
import os
import random
from collections import Counter
from pathlib import Path

from boragespring.platform.emulator.engine_spec import EngineSpec
from rig_2 import CONTACT_S, Deployment, encode_request, exchange, new_id, run_case

DEADLY_PART = "deadbeef"
#: Parts that prompts share, of which each has some.
SHARED_PARTS = [f"{number:08x}" for number in range(1, 61)]
#: Number of shared parts before the one that crashes engines. With 3 of them the rule holds.
PARTS_BEFORE = int(os.environ.get("PARTS_BEFORE", "33"))
ENGINES = 6
BEFORE_S = 3.0
#: The users' letter: a share of 0.03 of the requests, for 20 s.
TROUBLE_S = 20.0
DEADLY_SHARE = 0.03
RATE_PER_S = 25.0
#: "The fifth crash", and the number of such requests that may reach workers later.
CRASHES = 5
ALLOWED = 3


def stream_request(is_deadly):
    parts = random.sample(SHARED_PARTS, PARTS_BEFORE + 1)
    if is_deadly:
        parts[-1] = DEADLY_PART
    parts.append(f"{random.getrandbits(32):08x}")
    headers = {
        "Boragespring-Model": "m",
        "Boragespring-Token-Counts": f"{20 * len(parts)},40",
        "Boragespring-Prompt-Prefix": ",".join(f"{part}:20" for part in parts),
    }
    request_id = new_id()
    body = f"prompt of {request_id}".encode()
    return request_id, encode_request("POST", f"/draft/{request_id}", request_id, 6000, body, headers=headers)


async def case(record, has_trouble):
    spec = EngineSpec(event_interval_s=0.03, waiting_max=72, prefill_tokens_per_s=14_000.0)
    async with Deployment(record, engine_spec=spec) as deployment:
        platform = deployment.platform
        platform.restart_delay_s = 3.0
        platform.crashing_parts.add(DEADLY_PART)
        await deployment.start(engines=ENGINES)
        began_s = record.now_s()
        results, deadly_ids = Counter(), set()

        async def send(is_deadly):
            request_id, data = stream_request(is_deadly)
            if is_deadly:
                deadly_ids.add(request_id)
            kind = "deadly" if is_deadly else "sound"
            gateway = random.choice(deployment.gateways)
            record.add("sent", id=request_id, kind=kind, gateway=gateway.name)
            status, body = await exchange(gateway, data, 8.0)
            results[kind, status] += 1
            record.add("answered", id=request_id, kind=kind, status=status, bytes=len(body))

        tasks = []
        every = round(1 / DEADLY_SHARE)
        for number in range(round((BEFORE_S + TROUBLE_S) * RATE_PER_S)):
            at_s = number / RATE_PER_S
            await asyncio.sleep(max(0.0, began_s + at_s - record.now_s()))
            is_deadly = has_trouble and at_s >= BEFORE_S and number % every == 0
            tasks.append(asyncio.create_task(send(is_deadly)))
        await asyncio.gather(*tasks)
        offset_s = record.began_s
        crashes_s = sorted(at_s - offset_s for at_s in platform.crash_times_s)
        arrivals = sorted(
            (at_s - offset_s, name, headers["boragespring-attempt-id"])
            for name, engine in platform.engines.items()
            for at_s, headers in zip(engine.received_at_s, engine.received_headers, strict=True)
        )
        for at_s, name, request_id in arrivals:
            record.lines.append(f"{at_s:8.3f} reached worker={name} id={request_id}")
        for at_s in crashes_s:
            record.lines.append(f"{at_s:8.3f} crashed")
        late = []
        if len(crashes_s) >= CRASHES:
            from_s = crashes_s[CRASHES - 1] + CONTACT_S
            late = [each for each in arrivals if each[0] > from_s and each[2] in deadly_ids]
        record.say(f"crashes of engines: {len(crashes_s)}")
        record.say(f"deadly requests sent: {len(deadly_ids)}")
        record.say(f"they reached workers later than 3 s after the fifth crash: {len(late)} (allowed {ALLOWED})")
        record.say(f"answers: {dict(results)}")
        record.say(f"processes that ended by themselves: {deployment.dead()}")
        return len(late) > ALLOWED


run_case(Path(__file__).parent, case)
