from boragespring.standins.engine_core import EngineCore, EngineCoreSettings, Run


def make_run(name, prompt_tokens=10, output_tokens=50, priority=0, prompt=""):
    return Run(name, name, prompt, prompt_tokens, output_tokens, priority, 100)


def run_until_idle(core, max_steps=10_000):
    for _ in range(max_steps):
        if core.is_idle:
            return
        core.begin_step()
        core.finish_step()
        assert core.used_tokens == sum(run.held_tokens for run in core.running)
        assert core.used_tokens <= core.settings.memory_tokens
    raise AssertionError("the engine still has work after the maximum number of steps")


def test_full_memory_preempts_low_priority_runs_and_all_complete():
    core = EngineCore(EngineCoreSettings(memory_tokens=100))
    runs = [make_run(f"r{i}", priority=i % 2) for i in range(4)]
    for run in runs:
        core.submit(run)
    run_until_idle(core)
    assert all(run.produced_tokens == 50 for run in runs)
    assert core.preemptions == sum(run.preemptions for run in runs) > 0
    high_priority_preemptions = sum(
        run.preemptions for run in runs if run.priority == 0
    )
    assert high_priority_preemptions < core.preemptions - high_priority_preemptions


def test_cancel_frees_memory_of_running_and_waiting_runs():
    core = EngineCore(EngineCoreSettings(memory_tokens=100))
    first, second = make_run("a"), make_run("b", prompt_tokens=95)
    core.submit(first)
    core.submit(second)
    core.begin_step()
    core.finish_step()
    assert (len(core.running), core.waiting) == (1, 1)
    core.cancel(second)
    core.cancel(first)
    assert (core.used_tokens, core.waiting) == (0, 0)


def test_shared_prefix_hits_the_cache_which_stays_bounded():
    core = EngineCore(EngineCoreSettings(cache_tokens=64))
    prompt = "p" * 128
    for name in ("a", "b"):
        core.submit(make_run(name, prompt_tokens=32, prompt=prompt))
    run_until_idle(core)
    assert core.cache_hit_tokens == 32
    core.submit(make_run("c", prompt="q" * 1_000))
    run_until_idle(core)
    assert len(core.cache.blocks) == 4 and core.cache.removed
