"""Identify requests that are the same without keeping or revealing their contents.

Requests are the same if path, caller and body are; the rest may differ from one repeat
to the next. Where sound requests have path, caller and body in common with one that
crashes servers, it is told from them by its method, its query and its headers.
"""

import hashlib
from functools import cached_property

from attrs import frozen

__all__ = ["RequestIdentity", "is_request_trait", "outline_of", "specificity_of"]

OUTLINE_DIGEST_BYTES = 8
BODY_DIGEST_BYTES = 12
METHOD_DIGEST_BYTES = 4
QUERY_DIGEST_BYTES = 8
HEADERS_DIGEST_BYTES = 8
#: Begins the traits that identify requests. Identifiers of parts of prompts have no
#: colon, so that no caller can name another caller's request as a part.
REQUEST_PREFIX = "request:"
_SEPARATOR = "."


@frozen(eq=False)
class RequestIdentity:
    """What makes two requests the same.

    The API key may differ.

    Parameters
    ----------
    host, path : str
        Host and path without the query.
    workspace : str
        Workspace of the caller; empty for a public route.
    body : bytes
        Complete body.
    method, query : str
        Method, and what follows the question mark of the target.
    headers : tuple of (str, str)
        Headers, without those that differ in all repeats.
    """

    host: str
    path: str
    workspace: str
    body: bytes
    method: str = ""
    query: str = ""
    headers: tuple[tuple[str, str], ...] = ()

    @cached_property
    def outline(self) -> str:
        """Identifier of all but the body, of which it includes the size.

        It is found without reading the body. Requests with different outlines are not
        the same.
        """
        fields = (self.host, self.path, self.workspace, str(len(self.body)))
        digest = hashlib.blake2b(digest_size=OUTLINE_DIGEST_BYTES)
        for field in fields:
            encoded = field.encode(errors="surrogateescape")
            digest.update(len(encoded).to_bytes(4, "big") + encoded)
        return digest.hexdigest()

    @cached_property
    def trait(self) -> str:
        """Identifier that requests with equal path, caller and body have in common."""
        digest = hashlib.blake2b(self.body, digest_size=BODY_DIGEST_BYTES)
        return f"{REQUEST_PREFIX}{self.outline}{_SEPARATOR}{digest.hexdigest()}"

    @cached_property
    def traits(self) -> frozenset[str]:
        """That identifier, and others with more and more of the remaining fields."""
        headers = "\n".join(
            sorted(f"{name.lower()}:{text}" for name, text in self.headers)
        )
        with_method = _narrow(self.trait, self.method, METHOD_DIGEST_BYTES)
        with_query = _narrow(with_method, self.query, QUERY_DIGEST_BYTES)
        with_headers = _narrow(with_query, headers, HEADERS_DIGEST_BYTES)
        return frozenset((self.trait, with_method, with_query, with_headers))


def _narrow(trait: str, field: str, digest_bytes: int) -> str:
    encoded = field.encode(errors="surrogateescape")
    digest = hashlib.blake2b(encoded, digest_size=digest_bytes)
    return f"{trait}{_SEPARATOR}{digest.hexdigest()}"


def is_request_trait(trait: str) -> bool:
    """Return whether a trait identifies a request."""
    return trait.startswith(REQUEST_PREFIX)


def outline_of(trait: str) -> str:
    """Return the outline of the request that a trait identifies."""
    return trait.removeprefix(REQUEST_PREFIX).partition(_SEPARATOR)[0]


def specificity_of(trait: str) -> int:
    """Return how much the trait of a request says of it; more for a narrower one."""
    return trait.count(_SEPARATOR)
