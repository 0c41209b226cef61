"""Instance list of the platform over HTTP."""

from http import HTTPStatus
from typing import Any

import aiohttp
import cattrs

from boragespring.store.instances import Instance, InstanceListError

__all__ = ["HttpInstanceList", "instances_from_json", "instances_to_json"]

_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


def instances_from_json(document: Any) -> tuple[Instance, ...]:
    """Read an instance list; raise an exception group of all its errors."""
    return tuple(_CONVERTER.structure(document["instances"], list[Instance]))


def instances_to_json(instances: tuple[Instance, ...]) -> dict[str, Any]:
    """Write an instance list."""
    return {"instances": _CONVERTER.unstructure(list(instances))}


class HttpInstanceList:
    """`InstanceList` read by ``GET /instances``.

    A service that sends entity tags is asked for the list only if it changed,
    as most reads find it unchanged.

    Parameters
    ----------
    url : str
        Base URL of the platform's list.
    timeout_s : float
        Bound of one read.
    """

    def __init__(self, url: str, timeout_s: float = 3.0) -> None:
        self._url = url.rstrip("/") + "/instances"
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._session: aiohttp.ClientSession | None = None
        self._entity_tag = ""
        self._last_instances: tuple[Instance, ...] = ()

    async def fetch(self) -> tuple[Instance, ...]:
        """Read the whole list; raise `InstanceListError` when it cannot."""
        if self._session is None:
            self._session = aiohttp.ClientSession(timeout=self._timeout)
        try:
            headers = {"If-None-Match": self._entity_tag} if self._entity_tag else {}
            async with self._session.get(
                self._url, headers=headers, raise_for_status=True
            ) as response:
                if response.status != HTTPStatus.NOT_MODIFIED:
                    self._last_instances = instances_from_json(await response.json())
                    self._entity_tag = response.headers.get("ETag", "")
                return self._last_instances
        except (aiohttp.ClientError, TimeoutError) as error:
            raise InstanceListError(f"{self._url}: {error!r}") from error
        except (ValueError, KeyError, TypeError, cattrs.BaseValidationError) as error:
            raise InstanceListError(f"{self._url}: malformed list") from error

    async def close(self) -> None:
        """Close the connections to the platform."""
        if self._session is not None:
            await self._session.close()
            self._session = None
