"""HTTP routes of an agent for the platform and operators."""

import math

from aiohttp import web
from attrs import asdict

from boragespring.agent.leaving import LeaveReason, Leaving

__all__ = ["leave_routes"]


def leave_routes(leaving: Leaving) -> web.RouteTableDef:
    """Return the route that lets the agent leave.

    ``POST /leave`` is an operator's planned stop, ``POST /leave?notice_s=30``
    a reclaim with the time left.
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
        raise web.HTTPBadRequest(text="notice_s is no time in seconds")
    return notice_s
