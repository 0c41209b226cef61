"""Permits of one gateway, and the order of waiting requests."""

import asyncio

from boragespring.bench.virtual_time import run_in_virtual_time
from boragespring.decisions import DecisionLog
from boragespring.fleet import BackendServer, Registration, ServerAddress
from boragespring.server_rates import (
    PermitIssuer,
    RateLimiterSettings,
    Reservation,
    ServerRateLimiter,
)


def make_server(rate_per_s, number=0):
    registration = Registration(
        f"server-{number}", "desk", ServerAddress("h", number), "zone-a", 6
    )
    server = BackendServer(registration, joined_at_s=0.0)
    server.rate_limit_per_s = rate_per_s
    return server


class LocalSource:
    """Answers queries at once, or never."""

    def __init__(self, clock):
        self.issuer = PermitIssuer(lambda interval_s: 0.0, clock)
        self.limiter = None
        self.is_silent = False
        self.queries = 0

    def ask(self, query):
        self.queries += 1
        if not self.is_silent:
            reservation = self.issuer.reserve(
                query.process, query.rate_per_s, query.max_wait_s
            )
            self.limiter.on_reply(query.number, reservation)
        return True


def make_limiter():
    clock = asyncio.get_running_loop().time
    source = LocalSource(clock)
    limiter = ServerRateLimiter(
        source, lambda: 4, RateLimiterSettings(), DecisionLog(), clock
    )
    source.limiter = limiter
    return limiter, source


def play(scenario):
    run_in_virtual_time(scenario())


def test_server_without_a_rate_needs_no_permit():
    async def scenario():
        limiter, source = make_limiter()
        server = make_server(None)
        assert all(limiter.take(server) for _ in range(100))
        assert not source.queries

    play(scenario)


def test_unused_permit_expires():
    async def scenario():
        limiter, _ = make_limiter()
        server = make_server(2.0)
        limiter.prefetch([server])
        await asyncio.sleep(0.1)
        assert not server.is_rate_limited(asyncio.get_running_loop().time())
        await asyncio.sleep(RateLimiterSettings().permit_ttl_s)
        assert not limiter.take(server)

    play(scenario)


def test_call_that_cannot_wait_is_made_and_counted():
    async def scenario():
        limiter, _ = make_limiter()
        server = make_server(2.0)
        sent = [limiter.take(server, is_forced=True) for _ in range(2)]
        assert sent == [True, True]
        times_s = []
        while len(times_s) < 2:
            await asyncio.sleep(0.05)
            limiter.prefetch([server])
            if limiter.take(server):
                times_s.append(asyncio.get_running_loop().time())
        # Four requests by then: two that were forced and two with permits.
        assert times_s[1] >= 3 / 2.0

    play(scenario)


def test_most_urgent_request_gets_the_next_permit():
    async def scenario():
        limiter, _ = make_limiter()
        server = make_server(8.0)
        served = []

        async def request(name, urgency):
            found = await limiter.wait_for_permit([server], (), 10.0, urgency)
            assert limiter.take(found)
            served.append(name)

        tasks = []
        for name, urgency in [("first", 5), ("low", 5), ("high", 0), ("mid", 2)]:
            tasks.append(asyncio.create_task(request(name, urgency)))
            await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)
        assert served == ["first", "high", "mid", "low"]

    play(scenario)


def test_request_that_would_wait_too_long_learns_the_time_at_once():
    async def scenario():
        limiter, _ = make_limiter()
        servers = [make_server(0.5, 1), make_server(0.25, 2)]
        loop = asyncio.get_running_loop()
        for server in servers:
            assert await limiter.wait_for_permit([server], (), 1.0, 1) is server
        began_s = loop.time()
        wait_s = await limiter.wait_for_permit(servers, (), 1.0, 1)
        assert loop.time() == began_s
        assert abs(wait_s - 2.0) < 0.01

    play(scenario)


def test_permit_of_a_request_that_has_left_is_used_by_the_next():
    async def scenario():
        limiter, _ = make_limiter()
        server = make_server(1.0)
        assert await limiter.wait_for_permit([server], (), 1.0, 1) is server
        assert limiter.take(server)
        waiting = asyncio.create_task(limiter.wait_for_permit([server], (), 5.0, 1))
        await asyncio.sleep(0.5)
        waiting.cancel()
        await asyncio.sleep(0.6)
        assert limiter.take(server)

    play(scenario)


def test_silent_holder_leaves_an_equal_share():
    async def scenario():
        limiter, source = make_limiter()
        source.is_silent = True
        server = make_server(8.0)
        sent = 0
        for _ in range(100):
            found = await limiter.wait_for_permit([server], (), 0.1, 1)
            sent += found is server and limiter.take(server)
        elapsed_s = asyncio.get_running_loop().time()
        assert 0.3 * elapsed_s <= sent <= 2.0 * elapsed_s + 1

    play(scenario)


def test_server_that_takes_nothing_is_tried_now_and_then():
    async def scenario():
        limiter, _ = make_limiter()
        server = make_server(0.0)
        sent = 0
        for _ in range(600):
            limiter.prefetch([server])
            await asyncio.sleep(0.1)
            sent += limiter.take(server)
        assert 1 <= sent <= 0.1 * 60 + 1

    play(scenario)


def test_late_reply_to_a_question_has_no_effect():
    async def scenario():
        limiter, _ = make_limiter()
        limiter.on_reply(77, Reservation(True, 0.0))

    play(scenario)


def test_requests_with_different_servers_left_do_not_take_each_others_permits():
    async def scenario():
        limiter, _ = make_limiter()
        one, two = make_server(4.0, 1), make_server(8.0, 2)
        for server in (one, two):
            assert await limiter.wait_for_permit([server], (), 1.0, 1) is server
            assert limiter.take(server)
        async with asyncio.timeout(5.0):
            found = await asyncio.gather(
                limiter.wait_for_permit([two], {"server-1"}, 1.0, 5),
                limiter.wait_for_permit([one], (), 1.0, 0),
            )
        assert found == [two, one]

    play(scenario)
