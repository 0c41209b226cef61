"""HTTP servers of the daemons, and the endpoints for operators."""

from boragespring.http.admin import HttpServer, admin_routes

__all__ = ["HttpServer", "admin_routes"]
