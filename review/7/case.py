"""A request that crashes its workers, and differs from sound ones by its query only."""

import asyncio
import random
from collections import Counter
from pathlib import Path

from rig_2 import (
    CONTACT_S,
    Deployment,
    PlainWorker,
    encode_request,
    exchange,
    new_id,
    run_case,
)

PATH = "/look/stop"
DEADLY_QUERY = "id=13"
WORKERS = 3
BEFORE_S = 3.0
#: The users' letter: a share of 0.03 of the requests, for 20 s.
TROUBLE_S = 20.0
DEADLY_SHARE = 0.03
RATE_PER_S = 25.0
#: "It has crashed the third", and the number of retries that may reach workers later.
CRASHES = 3
ALLOWED = 3


async def case(record, has_trouble):
    async with Deployment(record) as deployment:
        crashes_s, arrivals = [], []
        results = Counter()

        def is_deadly(request):
            return request.target == f"{PATH}?{DEADLY_QUERY}"

        def on_arrival(worker, request):
            request_id = request.headers.get("boragespring-attempt-id", "")
            record.add("reached", worker=worker.server_id, id=request_id, target=request.target)
            if is_deadly(request):
                arrivals.append(record.now_s())

        def on_crash(worker):
            record.add("crashed", worker=worker.server_id)
            crashes_s.append(record.now_s())

        for number in range(WORKERS):
            worker = PlainWorker(deployment, f"desk-{number}")
            worker.is_deadly, worker.on_arrival, worker.on_crash = is_deadly, on_arrival, on_crash
            worker.back_s = 2.0
            await worker.start()
        await deployment.start()
        began_s = record.now_s()

        async def send(query, kind):
            request_id = new_id()
            gateway = random.choice(deployment.gateways)
            data = encode_request("GET", f"{PATH}?{query}", request_id, 1500)
            record.add("sent", id=request_id, kind=kind, query=query, gateway=gateway.name)
            status, _ = await exchange(gateway, data, 2.0)
            results[kind, status] += 1
            record.add("answered", id=request_id, kind=kind, status=status)

        tasks, deadly_sent = [], 0
        every = round(1 / DEADLY_SHARE)
        for number in range(round((BEFORE_S + TROUBLE_S) * RATE_PER_S)):
            at_s = number / RATE_PER_S
            await asyncio.sleep(max(0.0, began_s + at_s - record.now_s()))
            query, kind = f"id={random.randrange(100, 900)}", "sound"
            if has_trouble and at_s >= BEFORE_S and number % every == 0:
                query, kind = DEADLY_QUERY, "deadly"
                deadly_sent += 1
            tasks.append(asyncio.create_task(send(query, kind)))
        await asyncio.gather(*tasks)
        late = []
        if len(crashes_s) >= CRASHES:
            late = [at_s for at_s in arrivals if at_s > crashes_s[CRASHES - 1] + CONTACT_S]
        record.say(f"crashes of workers: {len(crashes_s)}")
        record.say(f"times that the deadly request was sent: {deadly_sent}")
        record.say(f"it reached workers later than 3 s after the third crash: {len(late)} (allowed {ALLOWED})")
        record.say(f"answers: {dict(results)}")
        record.say(f"processes that ended by themselves: {deployment.dead()}")
        return len(late) > ALLOWED


run_case(Path(__file__).parent, case)
