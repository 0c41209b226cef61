"""Stream events and load reports in the formats of the engine vendors."""

import json
from enum import StrEnum

from boragespring.standins.engine_core import (
    CACHE_BLOCK_TOKENS,
    EngineCoreSettings,
    EngineSnapshot,
    Run,
    RunState,
)

__all__ = [
    "EngineDialect",
    "format_load_report",
    "format_orca_header",
    "format_stream_event",
]


class EngineDialect(StrEnum):
    """Vendor whose HTTP interface an engine stand-in serves."""

    VLLM = "vllm"
    SGLANG = "sglang"
    TGI = "tgi"
    ORCA = "orca"


def format_stream_event(dialect: EngineDialect, run: Run, model: str) -> bytes:
    """Format the latest token of a run as a server-sent event.

    Parameters
    ----------
    dialect : EngineDialect
        Vendor whose format is used.
    run : Run
        Generation that produced the token.
    model : str
        Name of the model that the event states.
    """
    index = run.produced_tokens - 1
    text = f" g{run.generation_id}:{index}"
    is_last = run.state is RunState.COMPLETE
    if dialect is EngineDialect.TGI:
        return _format_tgi_event(run, text, is_last)
    finish_reason = (
        ('"length"' if run.is_length_limited else '"stop"') if is_last else "null"
    )
    event = (
        f'data: {{"id":"cmpl-{run.request_id}","object":"text_completion",'
        f'"model":"{model}","choices":[{{"index":0,"text":"{text}",'
        f'"finish_reason":{finish_reason}}}]}}\n\n'
    )
    return (event + "data: [DONE]\n\n" if is_last else event).encode()


def _format_tgi_event(run: Run, text: str, is_last: bool) -> bytes:
    token = {"id": run.produced_tokens, "text": text, "logprob": 0, "special": False}
    event: dict[str, object] = {
        "index": run.produced_tokens,
        "token": token,
        "generated_text": None,
        "details": None,
    }
    if is_last:
        reason = "length" if run.is_length_limited else "eos_token"
        event["generated_text"] = ""
        event["details"] = {
            "finish_reason": reason,
            "generated_tokens": run.produced_tokens,
        }
    return f"data:{json.dumps(event)}\n\n".encode()


def format_load_report(
    dialect: EngineDialect, load: EngineSnapshot, settings: EngineCoreSettings
) -> str:
    """Format a load report as Prometheus text.

    The text is empty for ORCA, which reports the load in a response header.
    """
    match dialect:
        case EngineDialect.VLLM:
            return _format_vllm_report(load, settings)
        case EngineDialect.SGLANG:
            return _format_sglang_report(load, settings)
        case EngineDialect.TGI:
            return _format_tgi_report(load)
        case EngineDialect.ORCA:
            return ""


def _format_vllm_report(load: EngineSnapshot, settings: EngineCoreSettings) -> str:
    labels = '{engine="0",model_name="standin"}'
    blocks = settings.memory_tokens // CACHE_BLOCK_TOKENS
    usage = load.used_tokens / settings.memory_tokens
    return f"""\
# TYPE vllm:num_requests_running gauge
vllm:num_requests_running{labels} {load.running}
# TYPE vllm:num_requests_waiting gauge
vllm:num_requests_waiting{labels} {load.waiting}
# TYPE vllm:kv_cache_usage_perc gauge
vllm:kv_cache_usage_perc{labels} {usage}
# TYPE vllm:num_preemptions_total counter
vllm:num_preemptions_total{labels} {load.preemptions}
# TYPE vllm:prefix_cache_queries_total counter
vllm:prefix_cache_queries_total{labels} {load.cache_queried_tokens}
# TYPE vllm:prefix_cache_hits_total counter
vllm:prefix_cache_hits_total{labels} {load.cache_hit_tokens}
# TYPE vllm:cache_config_info gauge
vllm:cache_config_info{{block_size="{CACHE_BLOCK_TOKENS}",num_gpu_blocks="{blocks}"}} 1
"""


def _format_sglang_report(load: EngineSnapshot, settings: EngineCoreSettings) -> str:
    labels = '{model_name="standin"}'
    hit_rate = load.cache_hit_tokens / max(1, load.cache_queried_tokens)
    return f"""\
# TYPE sglang:num_running_reqs gauge
sglang:num_running_reqs{labels} {load.running}
# TYPE sglang:num_queue_reqs gauge
sglang:num_queue_reqs{labels} {load.waiting}
# TYPE sglang:num_used_tokens gauge
sglang:num_used_tokens{labels} {load.used_tokens}
# TYPE sglang:max_total_num_tokens gauge
sglang:max_total_num_tokens{labels} {settings.memory_tokens}
# TYPE sglang:cache_hit_rate gauge
sglang:cache_hit_rate{labels} {hit_rate}
# TYPE sglang:num_retracted_requests_total counter
sglang:num_retracted_requests_total{labels} {load.preemptions}
"""


def _format_tgi_report(load: EngineSnapshot) -> str:
    return f"""\
# TYPE tgi_queue_size gauge
tgi_queue_size {load.waiting}
# TYPE tgi_batch_current_size gauge
tgi_batch_current_size {load.running}
# TYPE tgi_batch_current_max_tokens gauge
tgi_batch_current_max_tokens {load.used_tokens}
"""


def format_orca_header(load: EngineSnapshot, settings: EngineCoreSettings) -> str:
    """Format a load report as the value of the ``endpoint-load-metrics`` header."""
    metrics = {
        "kv_cache_usage_perc": load.used_tokens / settings.memory_tokens,
        "num_requests_running": load.running,
        "num_requests_waiting": load.waiting,
        "num_preemptions_total": load.preemptions,
        "max_total_num_tokens": settings.memory_tokens,
    }
    return "JSON " + json.dumps({"named_metrics": metrics})
