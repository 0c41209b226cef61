"""Command that drains an agent before its backend server is removed."""

import asyncio
from typing import Annotated, Any

import aiohttp
import typer

from boragespring.errors import BoragespringError
from boragespring.http.client_session import create_session

__all__ = ["LeaveError", "add_commands"]

TIMEOUT_S = 5.0


class LeaveError(BoragespringError):
    """The request to the agent to leave failed."""


def add_commands(app: typer.Typer) -> None:
    """Add the command to the root command."""
    app.command()(leave)


def leave(
    url: Annotated[str, typer.Argument(help="Base URL of the agent.")],
    notice_s: Annotated[
        float | None,
        typer.Option(min=0.0, help="Seconds until the instance is terminated."),
    ] = None,
) -> None:
    """Ask an agent to accept no new requests and finish the running ones."""
    status = asyncio.run(_leave(url.rstrip("/"), notice_s))
    typer.echo(" ".join(f"{name}={value}" for name, value in status.items()))


async def _leave(url: str, notice_s: float | None) -> dict[str, Any]:
    query = {} if notice_s is None else {"notice_s": str(notice_s)}
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with create_session(timeout=timeout) as session:
            async with session.post(f"{url}/leave", params=query) as response:
                response.raise_for_status()
                status: dict[str, Any] = await response.json()
                return status
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        raise LeaveError(f"{url}: {error or type(error).__name__}") from error
