"""Vendors of model engines and the formats of their requests and token streams."""

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
from boragespring.json_document import parse_json

__all__ = [
    "REQUEST_ID_HEADER",
    "EngineCall",
    "Orca",
    "Sglang",
    "Tgi",
    "Vendor",
    "VendorName",
    "Vllm",
    "build_engine_call",
    "create_vendor",
    "parse_token_batch",
]

REQUEST_ID_HEADER = "X-Request-Id"
ORCA_FORMAT_HEADER = "endpoint-load-metrics-format"
STREAM_END = b"[DONE]"


class VendorName(StrEnum):
    """Name of a vendor, as written in the settings."""

    VLLM = "vllm"
    SGLANG = "sglang"
    TGI = "tgi"
    ORCA = "orca"


@frozen
class Vendor:
    """Base class of the vendors.

    Parameters
    ----------
    memory_tokens : int, default=0
        Memory of the engine in tokens, used if its load report does not state
        it; 0 if unknown.
    """

    memory_tokens: int = 0


@frozen
class Vllm(Vendor):
    """The vLLM server, which serves smaller priorities first."""


@frozen
class Sglang(Vendor):
    """The SGLang server, which serves larger priorities first."""


@frozen
class Tgi(Vendor):
    """Text Generation Inference, which does not support priorities."""


@frozen
class Orca(Vendor):
    """OpenAI-compatible engine that reports its load in the ORCA header."""


_VENDORS: dict[VendorName, type[Vendor]] = {
    VendorName.VLLM: Vllm,
    VendorName.SGLANG: Sglang,
    VendorName.TGI: Tgi,
    VendorName.ORCA: Orca,
}


def create_vendor(name: VendorName, memory_tokens: int = 0) -> Vendor:
    """Create the vendor with the given name.

    Parameters
    ----------
    name : VendorName
        Name of the vendor.
    memory_tokens : int, default=0
        Memory of the engine in tokens, used if its load report does not state
        it; 0 if unknown.
    """
    return _VENDORS[name](memory_tokens=memory_tokens)


@frozen
class EngineCall:
    """HTTP request that starts a generation at an engine."""

    path: str
    headers: dict[str, str]
    body: bytes


@singledispatch
def build_engine_call(vendor: Vendor, request: GenerationRequest) -> EngineCall:
    """Build the HTTP request that starts a generation, in the vendor's format."""
    return _build_completions_call(request, priority=request.priority)


@build_engine_call.register
def _(vendor: Sglang, request: GenerationRequest) -> EngineCall:
    return _build_completions_call(
        request, priority=-request.priority, rid=request.generation_id
    )


@build_engine_call.register
def _(vendor: Tgi, request: GenerationRequest) -> EngineCall:
    parameters = {**request.parameters, "max_new_tokens": request.max_tokens}
    body = {"inputs": request.prompt, "parameters": parameters}
    headers = {REQUEST_ID_HEADER: request.generation_id}
    return EngineCall("/generate_stream", headers, json.dumps(body).encode())


@build_engine_call.register
def _(vendor: Orca, request: GenerationRequest) -> EngineCall:
    call = _build_completions_call(request)
    return EngineCall(
        call.path, {**call.headers, ORCA_FORMAT_HEADER: "JSON"}, call.body
    )


def _build_completions_call(request: GenerationRequest, **extra: object) -> EngineCall:
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
def parse_token_batch(vendor: Vendor, payloads: list[bytes]) -> TokenBatch:
    """Parse stream events that arrived together into one batch of tokens.

    Parameters
    ----------
    vendor : Vendor
        Vendor of the engine that sent the events.
    payloads : list of bytes
        Data of each event.

    Raises
    ------
    GenerationFailedError
        If an event is malformed, reports an error, or ends the generation for a
        reason other than a normal stop or the token limit.
    """
    texts: list[str] = []
    reason: FinishReason | None = None
    for payload in payloads:
        if payload == STREAM_END:
            continue
        try:
            choice = parse_json(payload.decode())["choices"][0]
            texts.append(choice["text"])
            finish = choice.get("finish_reason")
        except (ValueError, LookupError, TypeError) as error:
            raise _malformed_event_error(payload) from error
        if finish is not None:
            reason = _parse_finish_reason(finish)
    return TokenBatch(tuple(filter(None, texts)), reason)


@parse_token_batch.register
def _(vendor: Tgi, payloads: list[bytes]) -> TokenBatch:
    texts: list[str] = []
    reason: FinishReason | None = None
    for payload in payloads:
        try:
            event = parse_json(payload.decode())
            token = event["token"]
            if not token["special"]:
                texts.append(token["text"])
            details = event.get("details")
            finish = details["finish_reason"] if details else None
        except (ValueError, LookupError, TypeError) as error:
            raise _malformed_event_error(payload) from error
        if finish is not None:
            reason = _parse_finish_reason(finish)
    return TokenBatch(tuple(filter(None, texts)), reason)


def _parse_finish_reason(name: str) -> FinishReason:
    match name:
        case "length":
            return FinishReason.LENGTH
        case "stop" | "eos_token" | "stop_sequence":
            return FinishReason.STOP
        case _:
            raise GenerationFailedError(
                f"engine ended the generation with reason {name}"
            )


def _malformed_event_error(payload: bytes) -> GenerationFailedError:
    excerpt = payload[:200].decode(errors="replace")
    return GenerationFailedError(f"engine sent an invalid token event: {excerpt}")
