"""Vendors of model engines, and the form of their requests and streams."""

import json
from enum import StrEnum
from functools import singledispatch

from attrs import frozen

from boragespring.engines.client import (
    FinishReason,
    GenerationFailedError,
    GenerationRequest,
    TokenBatch,
)

__all__ = [
    "REQUEST_ID_HEADER",
    "EngineCall",
    "Orca",
    "Sglang",
    "Tgi",
    "Vendor",
    "VendorName",
    "Vllm",
    "engine_call",
    "token_batch",
    "create_vendor",
]

REQUEST_ID_HEADER = "X-Request-Id"
ORCA_FORMAT_HEADER = "endpoint-load-metrics-format"
STREAM_END = b"[DONE]"


class VendorName(StrEnum):
    """Name of a vendor in the settings."""

    VLLM = "vllm"
    SGLANG = "sglang"
    TGI = "tgi"
    ORCA = "orca"


@frozen
class Vendor:
    """Base of the vendors.

    Parameters
    ----------
    memory_tokens : int
        Memory of the engine where its report does not tell; 0 if unknown.
    """

    memory_tokens: int = 0


@frozen
class Vllm(Vendor):
    """The vLLM server; a smaller priority is served earlier."""


@frozen
class Sglang(Vendor):
    """The SGLang server; a larger priority is served earlier."""


@frozen
class Tgi(Vendor):
    """Text Generation Inference; it knows no priorities."""


@frozen
class Orca(Vendor):
    """An OpenAI-compatible engine that reports its load by the ORCA header."""


_VENDORS: dict[VendorName, type[Vendor]] = {
    VendorName.VLLM: Vllm,
    VendorName.SGLANG: Sglang,
    VendorName.TGI: Tgi,
    VendorName.ORCA: Orca,
}


def create_vendor(name: VendorName, memory_tokens: int = 0) -> Vendor:
    """Return the vendor of a name."""
    return _VENDORS[name](memory_tokens=memory_tokens)


@frozen
class EngineCall:
    """HTTP request that starts a generation."""

    path: str
    headers: dict[str, str]
    body: bytes


@singledispatch
def engine_call(vendor: Vendor, request: GenerationRequest) -> EngineCall:
    """Return the HTTP request of a generation in the vendor's form."""
    return _completions_call(request, priority=request.priority)


@engine_call.register
def _(vendor: Sglang, request: GenerationRequest) -> EngineCall:
    return _completions_call(
        request, priority=-request.priority, rid=request.generation_id
    )


@engine_call.register
def _(vendor: Tgi, request: GenerationRequest) -> EngineCall:
    parameters = {**request.parameters, "max_new_tokens": request.max_tokens}
    body = {"inputs": request.prompt, "parameters": parameters}
    headers = {REQUEST_ID_HEADER: request.generation_id}
    return EngineCall("/generate_stream", headers, json.dumps(body).encode())


@engine_call.register
def _(vendor: Orca, request: GenerationRequest) -> EngineCall:
    call = _completions_call(request)
    return EngineCall(
        call.path, {**call.headers, ORCA_FORMAT_HEADER: "JSON"}, call.body
    )


def _completions_call(request: GenerationRequest, **extra: object) -> EngineCall:
    body = {
        **request.parameters,
        "model": request.model,
        "prompt": request.prompt,
        "max_tokens": request.max_tokens,
        "stream": True,
        **extra,
    }
    headers = {REQUEST_ID_HEADER: request.generation_id}
    return EngineCall("/v1/completions", headers, json.dumps(body).encode())


@singledispatch
def token_batch(vendor: Vendor, payloads: list[bytes]) -> TokenBatch:
    """Return the tokens of stream events that arrived together.

    Raises `GenerationFailedError` when an event reports an error or cannot be
    read.
    """
    texts: list[str] = []
    reason: FinishReason | None = None
    for payload in payloads:
        if payload == STREAM_END:
            continue
        try:
            choice = json.loads(payload.decode())["choices"][0]
            texts.append(choice["text"])
            finish = choice.get("finish_reason")
        except (ValueError, LookupError, TypeError) as error:
            raise _failure(payload) from error
        if finish is not None:
            reason = _finish_reason(finish)
    return TokenBatch(tuple(filter(None, texts)), reason)


@token_batch.register
def _(vendor: Tgi, payloads: list[bytes]) -> TokenBatch:
    texts: list[str] = []
    reason: FinishReason | None = None
    for payload in payloads:
        try:
            event = json.loads(payload.decode())
            token = event["token"]
            if not token["special"]:
                texts.append(token["text"])
            details = event.get("details")
            finish = details["finish_reason"] if details else None
        except (ValueError, LookupError, TypeError) as error:
            raise _failure(payload) from error
        if finish is not None:
            reason = _finish_reason(finish)
    return TokenBatch(tuple(filter(None, texts)), reason)


def _finish_reason(name: str) -> FinishReason:
    match name:
        case "length":
            return FinishReason.LENGTH
        case "stop" | "eos_token" | "stop_sequence":
            return FinishReason.STOP
        case _:
            raise GenerationFailedError(f"engine ended the generation: {name}")


def _failure(payload: bytes) -> GenerationFailedError:
    shown = payload[:200].decode(errors="replace")
    return GenerationFailedError(f"engine sent an event that is no token: {shown}")
