"""Replies, byte by byte, to requests of gateways."""

from functools import partial

from boragespring.http.tests import raw_server
from boragespring.platform import names

__all__ = ["create_fields", "replies_with"]


def create_fields(headers):
    """Return the fields that make a reply one to the request with given headers."""
    request_id = headers.get(names.REQUEST_ID, "")
    return f"{names.REQUEST_ID}: {request_id}\r\n{names.SIGNATURE}: signed\r\n"


replies_with = partial(raw_server.replies_with, create_fields=create_fields)
