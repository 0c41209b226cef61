from boragespring.standins.engine_core import EngineCore, EngineCoreSettings, Run


def a_run(name, prompt_tokens=10, output_tokens=50, priority=0, prompt=""):
    return Run(name, name, prompt, prompt_tokens, output_tokens, priority, 100)


def run_to_end(core, limit=10_000):
    for _ in range(limit):
        if core.is_idle:
            return
        core.begin_step()
        core.finish_step()
        assert core.used_tokens == sum(run.held_tokens for run in core.running)
        assert core.used_tokens <= core.settings.memory_tokens
    raise AssertionError("engine did not finish")


def test_full_memory_preempts_the_least_urgent_and_all_finish():
    core = EngineCore(EngineCoreSettings(memory_tokens=100))
    runs = [a_run(f"r{i}", priority=i % 2) for i in range(4)]
    for run in runs:
        core.submit(run)
    run_to_end(core)
    assert all(run.produced_tokens == 50 for run in runs)
    assert core.preemptions == sum(run.preemptions for run in runs) > 0
    urgent = sum(run.preemptions for run in runs if run.priority == 0)
    assert urgent < core.preemptions - urgent


def test_cancel_frees_memory_of_running_and_waiting():
    core = EngineCore(EngineCoreSettings(memory_tokens=100))
    first, second = a_run("a"), a_run("b", prompt_tokens=95)
    core.submit(first)
    core.submit(second)
    core.begin_step()
    core.finish_step()
    assert (len(core.running), core.waiting) == (1, 1)
    core.cancel(second)
    core.cancel(first)
    assert (core.used_tokens, core.waiting) == (0, 0)


def test_shared_prefix_hits_and_cache_stays_bounded():
    core = EngineCore(EngineCoreSettings(cache_tokens=64))
    prompt = "p" * 128
    for name in ("a", "b"):
        core.submit(a_run(name, prompt_tokens=32, prompt=prompt))
    run_to_end(core)
    assert core.cache_hit_tokens == 32
    core.submit(a_run("c", prompt="q" * 1_000))
    run_to_end(core)
    assert len(core.cache.blocks) == 4 and core.cache.removed
