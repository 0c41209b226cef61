"""HTTP client of the platform's instance list."""

from http import HTTPStatus
from typing import Any

import aiohttp
import cattrs

from boragespring.http.bounded_reply import read_body
from boragespring.http.client_session import create_session
from boragespring.json_document import parse_json
from boragespring.store.instances import Instance, InstanceListError

__all__ = ["HttpInstanceList", "instances_from_json", "instances_to_json"]

#: Maximum size of the list.
LIST_MAX_BYTES = 16 * 2**20
_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


def instances_from_json(document: Any) -> tuple[Instance, ...]:
    """Decode an instance list.

    Raises
    ------
    KeyError, TypeError or cattrs.BaseValidationError
        The document is malformed. The last of these is an exception group with all
        errors found.
    """
    return tuple(_CONVERTER.structure(document["instances"], list[Instance]))


def instances_to_json(instances: tuple[Instance, ...]) -> dict[str, Any]:
    """Encode an instance list."""
    return {"instances": _CONVERTER.unstructure(list(instances))}


class HttpInstanceList:
    """`InstanceList` read with ``GET /instances``.

    If the service sends entity tags, requests are conditional and an unchanged list is
    not transferred again, since most reads find no change.

    Parameters
    ----------
    url : str
        Base URL of the instance list service.
    timeout_s : float
        Timeout in seconds of one read.
    """

    def __init__(self, url: str, timeout_s: float = 3.0) -> None:
        self._url = url.rstrip("/") + "/instances"
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._session: aiohttp.ClientSession | None = None
        self._entity_tag = ""
        self._last_instances: tuple[Instance, ...] = ()

    async def fetch(self) -> tuple[Instance, ...]:
        """Read the full list; raise `InstanceListError` on failure."""
        if self._session is None:
            self._session = create_session(timeout=self._timeout)
        try:
            headers = {"If-None-Match": self._entity_tag} if self._entity_tag else {}
            async with self._session.get(
                self._url, headers=headers, raise_for_status=True
            ) as response:
                if response.status != HTTPStatus.NOT_MODIFIED:
                    body = await read_body(response, LIST_MAX_BYTES)
                    self._last_instances = instances_from_json(parse_json(body))
                    self._entity_tag = response.headers.get("ETag", "")
                return self._last_instances
        except (aiohttp.ClientError, TimeoutError) as error:
            raise InstanceListError(f"{self._url}: {error!r}") from error
        except (ValueError, KeyError, TypeError, cattrs.BaseValidationError) as error:
            raise InstanceListError(f"{self._url}: malformed instance list") from error

    async def close(self) -> None:
        """Close the connections to the platform."""
        if self._session is not None:
            await self._session.close()
            self._session = None
