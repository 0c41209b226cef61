"""Copies of runs between emulated engines."""

from boragespring.platform.emulator import EmulatedEngine, EngineSpec
from boragespring.platform.emulator.engine_moves import free_copies, move_run
from boragespring.platform.emulator.engine_run import EngineRun


# Guards against moved runs that get 503 as another engine's copy had the same name.
async def test_copies_of_two_engines_are_freed_one_by_one():
    peers = {}
    for number in range(3):
        engine = EmulatedEngine(f"engine-{number}", EngineSpec(), peers)
        peers[str(number)] = engine
        engine.runs["r" + str(number)] = EngineRun(f"r{number}", 100, 50, 10)
    for source in ("0", "1"):
        body = {"id": "r" + source, "target": "2", "last": True}
        assert (await move_run(peers[source], body)).status == 200
    free_copies(peers["2"], peers["2"].copies["r0"].copy_id)
    assert set(peers["2"].copies) == {"r1"}
