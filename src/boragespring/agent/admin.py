"""HTTP routes of an agent for the platform and for operators."""

import math

from aiohttp import web
from attrs import asdict

from boragespring.agent.leaving import LeaveReason, Leaving

__all__ = ["leave_routes"]


def leave_routes(leaving: Leaving) -> web.RouteTableDef:
    """Return the route that starts the graceful shutdown of the agent.

    ``POST /leave`` announces a planned stop by an operator. With a notice, as in
    ``POST /leave?notice_s=30``, it announces that the platform reclaims the
    instance after that number of seconds.

    Parameters
    ----------
    leaving : Leaving
        Leave state of the agent.
    """
    routes = web.RouteTableDef()

    @routes.post("/leave")
    async def leave(request: web.Request) -> web.Response:
        notice_s = _parse_notice_s(request.query.get("notice_s"))
        reason = LeaveReason.OPERATOR if notice_s is None else LeaveReason.RECLAIM
        leaving.leave(reason, notice_s)
        return web.json_response(asdict(leaving.status()))

    return routes


def _parse_notice_s(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        notice_s = float(text)
    except ValueError:
        notice_s = math.nan
    if not (math.isfinite(notice_s) and notice_s >= 0):
        raise web.HTTPBadRequest(
            text="notice_s must be a finite, non-negative number of seconds"
        )
    return notice_s
