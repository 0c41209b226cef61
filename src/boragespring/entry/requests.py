"""Parsing and validation of request bodies of the OpenAI-compatible API."""

import itertools
import json
import re
from collections.abc import Mapping
from typing import Any

from aiohttp import web
from attrs import frozen

from boragespring.entry.problems import Problem
from boragespring.entry.sampling import (
    check_unicode,
    invalid_field,
    sampling_parameters,
)
from boragespring.settings import CallerSettings

__all__ = ["CompletionRequest", "read_chat_request", "read_completion_request"]

CHARACTERS_PER_TOKEN = 4
#: Maximum number of marks in a body; each value, which becomes an object, has one.
MARKS_MAX = 200_000
#: A string, closed or not, or a comma or opening bracket outside strings.
MARK = re.compile(rb'[,[{]|"[^"\\]*+(?:\\.[^"\\]*+)*+(?:"|\\?\Z)', re.DOTALL)


@frozen
class CompletionRequest:
    """Validated request for a generation.

    Parameters
    ----------
    model : str
        Name of the model.
    prompt : str
        Prompt text; chat messages are rendered to one text.
    max_tokens : int
        Maximum number of output tokens.
    stream : bool
        Whether tokens are sent as they are produced.
    include_usage : bool
        Whether a stream ends with a chunk that holds the token counts.
    parameters : dict
        Sampling parameters that are passed to the engine unchanged.
    """

    model: str
    prompt: str
    max_tokens: int
    stream: bool
    include_usage: bool
    parameters: dict[str, object]

    @property
    def prompt_tokens(self) -> int:
        """Estimated length of the prompt in tokens."""
        return max(1, len(self.prompt) // CHARACTERS_PER_TOKEN)


async def _read_body(request: web.Request) -> Mapping[str, Any]:
    raw_body = await request.read()
    _check_size_as_objects(raw_body)
    try:
        body = json.loads(raw_body)
    except (ValueError, RecursionError) as error:
        message = f"the body is not valid JSON: {error}"
        raise Problem(400, "invalid_json", message) from error
    if not isinstance(body, dict):
        raise Problem(400, "invalid_json", "the body must be a JSON object")
    return body


def _check_size_as_objects(raw_body: bytes) -> None:
    """Raise `Problem` if a body holds so much that its objects are too large."""
    if len(raw_body) < MARKS_MAX:
        return
    marks = MARK.finditer(raw_body)
    if next(itertools.islice(marks, MARKS_MAX, None), None) is not None:
        message = (
            f"the body must have no more than {MARKS_MAX} strings, and commas and"
            " opening brackets outside them"
        )
        raise Problem(400, "too_many_values", message)


def _parse_text(body: Mapping[str, Any], field: str) -> str:
    value = body.get(field)
    if not isinstance(value, str) or not value:
        raise invalid_field(field, "must be a non-empty string")
    return check_unicode(field, value)


def _parse_flag(body: Mapping[str, Any], field: str) -> bool:
    value = body.get(field, False)
    if value is None:
        return False
    if not isinstance(value, bool):
        raise invalid_field(field, "must be true or false")
    return value


def _parse_max_tokens(body: Mapping[str, Any], settings: CallerSettings) -> int:
    field = "max_completion_tokens"
    if body.get(field) is None:
        field = "max_tokens"
    value = body.get(field)
    if value is None:
        return settings.max_tokens_default
    if not isinstance(value, int) or isinstance(value, bool):
        raise invalid_field(field, "must be an integer")
    if not 1 <= value <= settings.max_tokens_max:
        raise invalid_field(field, f"must be from 1 to {settings.max_tokens_max}")
    return value


def _parse_include_usage(body: Mapping[str, Any]) -> bool:
    options = body.get("stream_options")
    if options is None:
        return False
    if not isinstance(options, dict):
        raise invalid_field("stream_options", "must be an object")
    return _parse_flag(options, "include_usage")


def _check_single_choice(body: Mapping[str, Any]) -> None:
    if body.get("n") not in (None, 1):
        raise invalid_field("n", "must be 1; send a separate request for each answer")


def _build_request(
    body: Mapping[str, Any], field: str, prompt: str, settings: CallerSettings
) -> CompletionRequest:
    _check_single_choice(body)
    return CompletionRequest(
        model=_parse_text(body, "model"),
        prompt=check_unicode(field, prompt),
        max_tokens=_parse_max_tokens(body, settings),
        stream=_parse_flag(body, "stream"),
        include_usage=_parse_include_usage(body),
        parameters=sampling_parameters(body),
    )


async def read_completion_request(
    request: web.Request, settings: CallerSettings
) -> CompletionRequest:
    """Read the body of ``/v1/completions``; raise `Problem` if it is invalid."""
    body = await _read_body(request)
    prompt = body.get("prompt")
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str):
        raise invalid_field("prompt", "must be a single string")
    return _build_request(body, "prompt", prompt, settings)


async def read_chat_request(
    request: web.Request, settings: CallerSettings
) -> CompletionRequest:
    """Read the body of ``/v1/chat/completions``; raise `Problem` if invalid."""
    body = await _read_body(request)
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise invalid_field("messages", "must be a list with at least one message")
    lines = [_render_message(item, index) for index, item in enumerate(messages)]
    prompt = "\n".join((*lines, "assistant:"))
    return _build_request(body, "messages", prompt, settings)


def _render_message(item: object, index: int) -> str:
    field = f"messages[{index}]"
    if not isinstance(item, dict):
        raise invalid_field(field, "must be an object with role and content")
    role = item.get("role")
    if not isinstance(role, str):
        raise invalid_field(f"{field}.role", "must be a string")
    content = item.get("content")
    if isinstance(content, list):
        content = "".join(_render_content_part(part, field) for part in content)
    if not isinstance(content, str):
        raise invalid_field(
            f"{field}.content", "must be a string or a list of text parts"
        )
    return f"{role}: {content}"


def _render_content_part(part: object, field: str) -> str:
    if isinstance(part, dict) and isinstance(part.get("text"), str):
        return str(part["text"])
    raise invalid_field(f"{field}.content", "must contain only parts of type text")
