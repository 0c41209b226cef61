"""Gateway process, which accepts and forwards the requests of callers."""

from boragespring.gateway.daemon import Gateway

__all__ = ["Gateway"]
