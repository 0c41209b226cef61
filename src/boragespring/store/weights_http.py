"""HTTP client of the platform's weight store."""

from http import HTTPStatus
from urllib.parse import quote

import aiohttp

from boragespring.http.client_session import create_session
from boragespring.store.weights import WeightStoreBusyError, WeightStoreError

__all__ = ["HttpWeightStore"]

RETRY_AFTER_DEFAULT_S = 1.0


class HttpWeightStore:
    """`WeightStore` that requests loads with ``POST /weights/<name>``.

    Parameters
    ----------
    url : str
        Base URL of the weight store.
    timeout_s : float
        Timeout in seconds of one call.
    """

    def __init__(self, url: str, timeout_s: float = 3.0) -> None:
        self._url = url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._session: aiohttp.ClientSession | None = None

    async def start_load(self, name: str) -> None:
        """Reserve capacity for loading the weights of a model.

        Raises
        ------
        WeightStoreBusyError
            The load rate is exhausted.
        WeightStoreError
            The call failed.
        """
        if self._session is None:
            self._session = create_session(timeout=self._timeout)
        url = f"{self._url}/weights/{quote(name, safe='')}"
        try:
            async with self._session.post(url) as response:
                if response.status == HTTPStatus.TOO_MANY_REQUESTS:
                    raise WeightStoreBusyError(_retry_after_s(response))
                response.raise_for_status()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise WeightStoreError(f"{url}: {error!r}") from error

    async def close(self) -> None:
        """Close the connections to the weight store."""
        if self._session is not None:
            await self._session.close()
            self._session = None


def _retry_after_s(response: aiohttp.ClientResponse) -> float:
    try:
        return float(response.headers["Retry-After"])
    except (LookupError, ValueError):
        return RETRY_AFTER_DEFAULT_S
