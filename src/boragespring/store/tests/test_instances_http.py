"""The instance list over HTTP."""

from boragespring.standins.store import StoreStandin, StoreStandinSettings
from boragespring.store.instances import Instance, InstanceRole
from boragespring.store.instances_http import HttpInstanceList


async def test_unchanged_list_is_not_sent_again():
    standin = StoreStandin(StoreStandinSettings())
    await standin.start()
    listed = HttpInstanceList(standin.url)
    try:
        first = Instance("a", InstanceRole.AGENT, "s", "r", "z", "h", 1, 2)
        standin.put_instances((first,))
        assert await listed.fetch() == (first,)
        tag, last = listed._tag, listed._last
        assert tag and await listed.fetch() is last
        standin.put_instances(())
        assert await listed.fetch() == ()
        assert listed._tag != tag
    finally:
        await listed.close()
        await standin.stop()
