"""HTTP servers of the daemons, and the endpoints for operators."""

from boragespring.http.admin import AdminServer, admin_routes

__all__ = ["AdminServer", "admin_routes"]
