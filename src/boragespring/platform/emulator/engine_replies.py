"""Replies of an emulated engine."""

import json

from aiohttp import web

from boragespring.platform import names

__all__ = ["create_stream", "encode_event", "shared_parts", "truncate"]


class _UnframedResponse(web.StreamResponse):
    """Reply whose body ends when its connection is closed."""

    # Without this, aiohttp sends a body of unknown length in chunks.
    _length_check = False


def create_stream(request_id: str, is_unframed: bool) -> web.StreamResponse:
    """Return the reply of a run, without its events.

    Parameters
    ----------
    request_id : str
        Request that is answered.
    is_unframed : bool
        Whether the stream has neither a length nor chunks.
    """
    headers = {
        "Content-Type": "text/event-stream",
        names.REQUEST_ID: request_id,
        names.SIGNATURE: "signed",
    }
    if is_unframed:
        unframed = _UnframedResponse(headers=headers)
        unframed.force_close()
        return unframed
    chunked = web.StreamResponse(headers=headers)
    chunked.enable_chunked_encoding()
    return chunked


def shared_parts(request: web.Request) -> list[str]:
    """Return the identifiers of all parts of the prompt but the last one."""
    parts = request.headers.get(names.PROMPT_PARTS, "").split(",")
    return [part.partition(":")[0] for part in parts[:-1]]


def encode_event(event_number: int) -> bytes:
    """Return an event of a stream."""
    return f"id: {event_number}\ndata: {json.dumps({'n': event_number})}\n\n".encode()


def truncate(request: web.Request, response: web.StreamResponse) -> web.StreamResponse:
    """Close the connection before the stream is complete."""
    if request.transport is not None:
        request.transport.close()
    return response
