import asyncio
import random

import pytest
from prometheus_client import CollectorRegistry

from boragespring.admission import (
    AdmissionQueue,
    AdmissionRefusedError,
    AdmissionSettings,
    BoundedOverflow,
    FairQueueSettings,
    NoAdmission,
    RefusalCode,
    Ticket,
    TicketState,
    TrafficClass,
    WorstCase,
)
from boragespring.bench.virtual_time import run_in_virtual_time
from boragespring.engines import LoadReport
from boragespring.metrics.admission import AdmissionMetrics


def make_ticket(workspace="a", traffic_class=TrafficClass.STANDARD, **fields):
    defaults = {"prompt_tokens": 10, "max_tokens": 100}
    return Ticket(workspace, traffic_class, **{**defaults, **fields})


def make_queue(**fields):
    loop = asyncio.get_running_loop()
    return AdmissionQueue(AdmissionSettings(**fields), clock=loop.time)


async def serve(queue, ticket, output_tokens, order):
    await queue.submit(ticket)
    order.append(ticket)
    for _ in range(output_tokens):
        await asyncio.sleep(0.01)
        ticket.record_tokens(1)
    ticket.finish()


@pytest.mark.parametrize("policy", [WorstCase(), BoundedOverflow(0.01)])
def test_memory_rarely_overflows_and_all_requests_finish(policy):
    async def main():
        queue = make_queue(memory_tokens=2_000, policy=policy)
        rng = random.Random(5)
        order, used = [], []
        tickets = [make_ticket(prompt_tokens=20, max_tokens=400) for _ in range(150)]
        tasks = [
            asyncio.create_task(
                serve(queue, t, min(400, int(rng.expovariate(1 / 60)) + 1), order)
            )
            for t in tickets
        ]
        while not all(task.done() for task in tasks):
            used.append(queue.used_tokens)
            await asyncio.sleep(0.01)
        assert not queue.running and not queue.waiting and not queue.used_tokens
        assert {ticket.state for ticket in tickets} == {TicketState.FINISHED}
        return used

    used = run_in_virtual_time(main())
    assert sum(tokens > 2_000 for tokens in used) <= 0.02 * len(used)
    assert max(used) > 500


def test_no_admission_admits_every_request_immediately():
    async def main():
        queue = make_queue(memory_tokens=100, policy=NoAdmission())
        await asyncio.gather(*(queue.submit(make_ticket()) for _ in range(50)))
        return len(queue.running)

    assert run_in_virtual_time(main()) == 50


def test_flooding_workspace_does_not_starve_others():
    async def main():
        queue = make_queue(concurrency_max=1)
        order = []
        flood = [serve(queue, make_ticket("flood"), 5, order) for _ in range(60)]
        quiet = [serve(queue, make_ticket("quiet"), 5, order) for _ in range(10)]
        await asyncio.gather(*flood, *quiet)
        return [ticket.workspace for ticket in order]

    order = run_in_virtual_time(main())
    assert order[:24].count("quiet") == 10


def test_flood_of_plain_calls_does_not_starve_others():
    async def call(queue, ticket, order):
        await queue.submit(ticket)
        order.append(ticket.workspace)
        await asyncio.sleep(0.01)
        ticket.finish()

    async def main():
        queue = make_queue(concurrency_max=1)
        order = []
        workspaces = ["flood"] * 60 + ["quiet"] * 10
        plain = {"prompt_tokens": 0, "max_tokens": 0}
        calls = [call(queue, make_ticket(name, **plain), order) for name in workspaces]
        calls.append(call(queue, make_ticket("none", weight=0.0, **plain), order))
        await asyncio.gather(*calls)
        return order

    order = run_in_virtual_time(main())
    assert order[:24].count("quiet") == 10


def test_admissions_are_proportional_to_weights():
    async def main():
        queue = make_queue(concurrency_max=2)
        order = []
        heavy = [
            serve(queue, make_ticket("h", weight=3.0), 9, order) for _ in range(300)
        ]
        light = [serve(queue, make_ticket("l"), 9, order) for _ in range(300)]
        await asyncio.gather(*heavy, *light)
        return [ticket.workspace for ticket in order][:200]

    assert abs(run_in_virtual_time(main()).count("h") - 150) <= 6


def test_urgent_class_is_admitted_first_and_batch_ages():
    async def main():
        fairness = FairQueueSettings(ageing_time_s=20.0)
        queue = make_queue(concurrency_max=1, fairness=fairness)
        order = []

        async def submit_interactive_requests():
            for _ in range(400):
                ticket = make_ticket(traffic_class=TrafficClass.INTERACTIVE)
                tasks.append(asyncio.create_task(serve(queue, ticket, 20, order)))
                await asyncio.sleep(0.19)

        tasks = [asyncio.create_task(serve(queue, make_ticket(), 20, order))]
        await asyncio.sleep(0)
        batch = make_ticket(traffic_class=TrafficClass.BATCH)
        tasks.append(asyncio.create_task(serve(queue, batch, 20, order)))
        await submit_interactive_requests()
        await asyncio.gather(*tasks)
        return [ticket.traffic_class for ticket in order].index(batch.traffic_class)

    # Admitted after the first interactive requests but well before the last one.
    assert 5 < run_in_virtual_time(main()) < 390


def test_large_request_is_not_overtaken_indefinitely():
    async def main():
        queue = make_queue(memory_tokens=1_000, policy=WorstCase(), overtaken_max=4)
        order = []
        small = [make_ticket("s") for _ in range(60)]
        big = make_ticket("b", prompt_tokens=700, max_tokens=250)
        tasks = [asyncio.create_task(serve(queue, t, 50, order)) for t in small[:8]]
        await asyncio.sleep(0)
        tasks.append(asyncio.create_task(serve(queue, big, 50, order)))
        tasks += [asyncio.create_task(serve(queue, t, 50, order)) for t in small[8:]]
        await asyncio.gather(*tasks)
        return order.index(big)

    assert run_in_virtual_time(main()) < 30


def test_refusals_are_immediate_with_retry_hint_and_are_counted():
    registry = CollectorRegistry()

    async def main():
        loop = asyncio.get_running_loop()
        queue = make_queue(concurrency_max=1, queue_max=3)
        queue.metrics = AdmissionMetrics(registry)
        order = []
        for _ in range(3):
            await serve(queue, make_ticket(), 50, order)
        tasks = [
            asyncio.create_task(serve(queue, make_ticket(), 50, order))
            for _ in range(4)
        ]
        await asyncio.sleep(0)
        started_at_s = loop.time()
        with pytest.raises(AdmissionRefusedError) as full:
            await queue.submit(make_ticket())
        with pytest.raises(AdmissionRefusedError) as late:
            await queue.submit(make_ticket("b", deadline_s=loop.time() + 0.2))
        assert loop.time() == started_at_s
        await asyncio.gather(*tasks)
        return full.value, late.value

    full, late = run_in_virtual_time(main())
    assert full.code is RefusalCode.QUEUE_FULL
    assert 0.5 < full.retry_after_s < 10
    assert late.code is RefusalCode.DEADLINE_UNREACHABLE
    assert 0.1 <= late.retry_after_s < 5
    labels = {"workspace": "a", "traffic_class": "standard"}

    def sample(name, **more):
        return registry.get_sample_value(f"boragespring_{name}", labels | more)

    assert sample("admission_refusals_total", code="queue_full") == 1
    assert sample("queue_time_seconds_count") == 7


def test_queued_request_is_refused_once_its_deadline_is_unreachable():
    async def main():
        loop = asyncio.get_running_loop()
        queue = make_queue(concurrency_max=1)
        await queue.submit(make_ticket())
        started_at_s = loop.time()
        with pytest.raises(AdmissionRefusedError):
            await queue.submit(make_ticket(max_tokens=1, deadline_s=started_at_s + 2.0))
        assert not queue.waiting
        return loop.time() - started_at_s

    assert 1.8 < run_in_virtual_time(main()) < 2.0


def test_cancelled_requests_leave_no_state():
    async def main():
        queue = make_queue(concurrency_max=1)
        first = make_ticket()
        await queue.submit(first)
        waiting = asyncio.create_task(queue.submit(make_ticket()))
        admitted = asyncio.create_task(queue.submit(make_ticket()))
        await asyncio.sleep(0)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        # This one is admitted and cancelled in the same event loop iteration.
        first.finish()
        admitted.cancel()
        await asyncio.gather(admitted, return_exceptions=True)
        return queue.waiting, len(queue.running)

    assert run_in_virtual_time(main()) == (0, 0)


def test_memory_used_by_other_clients_is_taken_into_account():
    async def main():
        queue = make_queue(memory_tokens=1_000, policy=WorstCase())
        await queue.submit(make_ticket(prompt_tokens=300))
        for _ in range(40):
            queue.apply_report(LoadReport(9, 0, 900, 1_000, 0, 0.0, 0.0))
        task = asyncio.create_task(queue.submit(make_ticket(prompt_tokens=100)))
        await asyncio.sleep(0.2)
        assert not task.done()
        for _ in range(40):
            queue.apply_report(LoadReport(1, 0, 300, 1_000, 0, 0.0, 0.0))
        await task

    run_in_virtual_time(main())


def test_return_waiting_refuses_queued_and_keeps_running_requests():
    async def main():
        queue = make_queue(concurrency_max=1)
        running = make_ticket()
        await queue.submit(running)
        waiting = asyncio.create_task(queue.submit(make_ticket()))
        await asyncio.sleep(0)
        assert queue.return_waiting() == 1
        with pytest.raises(AdmissionRefusedError) as exc_info:
            await waiting
        assert exc_info.value.code is RefusalCode.HANDED_BACK
        assert list(queue.running) == [running]

    run_in_virtual_time(main())
