"""Response formats of completions and chat completions."""

import json
import time
from collections.abc import Callable
from json.encoder import encode_basestring_ascii

from attrs import frozen

from boragespring.answers import AnswerHandle

__all__ = [
    "CHAT_SHAPE",
    "COMPLETION_SHAPE",
    "DONE_EVENT",
    "AnswerRenderer",
    "AnswerShape",
]

DONE_EVENT = b"data: [DONE]\n\n"
#: Placeholder for the text of a token in the event template.
_TEXT_PLACEHOLDER = "\x00"


@frozen
class AnswerShape:
    """Names and fields in which the two APIs differ.

    Parameters
    ----------
    id_prefix, buffered_object, chunk_object : str
        ID prefix, and object names of a buffered answer and a streamed chunk.
    buffered_choice, chunk_choice : callable
        Build the API-specific fields of a choice from its text.
    """

    id_prefix: str
    buffered_object: str
    chunk_object: str
    buffered_choice: Callable[[str], dict[str, object]]
    chunk_choice: Callable[[str], dict[str, object]]


COMPLETION_SHAPE = AnswerShape(
    "cmpl",
    "text_completion",
    "text_completion",
    lambda text: {"text": text, "logprobs": None},
    lambda text: {"text": text, "logprobs": None},
)
CHAT_SHAPE = AnswerShape(
    "chatcmpl",
    "chat.completion",
    "chat.completion.chunk",
    lambda text: {"message": {"role": "assistant", "content": text}},
    lambda text: {"delta": {"role": "assistant", "content": text} if text else {}},
)


def usage(prompt_tokens: int, completion_tokens: int) -> dict[str, int]:
    """Return the ``usage`` object with the token counts of an answer."""
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
    }


class AnswerRenderer:
    """Render one answer as server-sent events or as a single JSON body.

    The constant parts of an event are rendered only once, since an event is
    written for every token.
    """

    def __init__(self, shape: AnswerShape, handle: AnswerHandle, model: str) -> None:
        self._shape = shape
        self._model = model
        self._id = f"{shape.id_prefix}-{handle.answer_id.hex()}"
        self._created = int(time.time())
        body = self._build_body([self._build_choice(_TEXT_PLACEHOLDER, None)])
        event_start, event_end = json.dumps(body).split(json.dumps(_TEXT_PLACEHOLDER))
        self._id_line = f"id: {handle.prefix}"
        self._event_start = f"\ndata: {event_start}"
        self._event_end = f"{event_end}\n\n"

    def _build_choice(self, text: str, finish_reason: str | None) -> dict[str, object]:
        choice = self._shape.chunk_choice(text)
        return {"index": 0, **choice, "finish_reason": finish_reason}

    def _build_body(self, choices: list[dict[str, object]]) -> dict[str, object]:
        return {
            "id": self._id,
            "object": self._shape.chunk_object,
            "created": self._created,
            "model": self._model,
            "choices": choices,
        }

    def token_events(self, texts: list[str], position: int) -> bytes:
        """Return one event per token, whose ID holds the position after the token."""
        id_line, event_start, event_end = (
            self._id_line,
            self._event_start,
            self._event_end,
        )
        quote = encode_basestring_ascii
        events = [
            f"{id_line}{end_position}{event_start}{quote(text)}{event_end}"
            for end_position, text in enumerate(texts, position + 1)
        ]
        return "".join(events).encode()

    def final_events(self, finish_reason: str, counts: dict[str, int] | None) -> bytes:
        """Return the final events of a complete answer, with usage if given."""
        bodies = [self._build_body([self._build_choice("", finish_reason)])]
        if counts is not None:
            bodies.append({**self._build_body([]), "usage": counts})
        events = [f"data: {json.dumps(body)}\n\n".encode() for body in bodies]
        return b"".join((*events, DONE_EVENT))

    def buffered_body(
        self, text: str, finish_reason: str, counts: dict[str, int]
    ) -> dict[str, object]:
        """Return the JSON body of an answer that is not streamed."""
        choice = self._shape.buffered_choice(text)
        return {
            "id": self._id,
            "object": self._shape.buffered_object,
            "created": self._created,
            "model": self._model,
            "choices": [{"index": 0, **choice, "finish_reason": finish_reason}],
            "usage": counts,
        }
