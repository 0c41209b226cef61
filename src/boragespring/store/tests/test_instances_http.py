"""Tests of the HTTP client of the instance list."""

from boragespring.standins.store import StoreStandIn, StoreStandInSettings
from boragespring.store.instances import Instance, InstanceRole
from boragespring.store.instances_http import HttpInstanceList


async def test_unchanged_list_is_not_sent_again():
    standin = StoreStandIn(StoreStandInSettings())
    await standin.start()
    instance_list = HttpInstanceList(standin.url)
    try:
        first = Instance("a", InstanceRole.AGENT, "s", "r", "z", "h", 1, 2)
        standin.put_instances((first,))
        assert await instance_list.fetch() == (first,)
        tag, last = instance_list._entity_tag, instance_list._last_instances
        assert tag and await instance_list.fetch() is last
        standin.put_instances(())
        assert await instance_list.fetch() == ()
        assert instance_list._entity_tag != tag
    finally:
        await instance_list.close()
        await standin.stop()
