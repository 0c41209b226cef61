"""Example documents and a fault-injecting store for the tests of the lists."""

import asyncio
import json
import time

from boragespring.lists import ListsDocument, hash_api_key, parse_document
from boragespring.store import (
    MemoryStore,
    StoreUnavailableError,
    WriteOutcomeUnknownError,
)


def make_document(workspaces=3, plans=2) -> ListsDocument:
    data = {
        "format": 2,
        "plan_list": {
            "workspaces": {
                f"w{i}": {
                    "plan": f"p{i % plans}",
                    "key_hashes": [hash_api_key(f"k{i}")],
                }
                for i in range(workspaces)
            }
        },
        "allowance_list": {
            "plans": {f"p{i}": {"services": ["s"]} for i in range(plans)},
            "services": {"s": {"kind": "engine"}},
        },
    }
    return parse_document(json.dumps(data), "test")


async def wait_until(condition, timeout_s=20.0):
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline_s, "condition not met in time"
        await asyncio.sleep(0.002)


class FaultInjectingStore(MemoryStore):
    """Store that loses requests and replies at random, using a seeded generator."""

    def __init__(self, keyspace, rng, fault_rate=0.15):
        super().__init__(keyspace)
        self.rng = rng
        self.fault_rate = fault_rate

    async def write_many(self, writes):
        await asyncio.sleep(0)
        if self.rng.random() < self.fault_rate:
            raise WriteOutcomeUnknownError("lost before it took effect")
        results = await super().write_many(writes)
        if self.rng.random() < self.fault_rate:
            raise WriteOutcomeUnknownError("lost after it took effect")
        await asyncio.sleep(0)
        return results

    async def get(self, key):
        await asyncio.sleep(0)
        if self.rng.random() < self.fault_rate:
            raise StoreUnavailableError("read lost")
        return await super().get(key)
