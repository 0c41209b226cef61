"""Gateway: the process that serves callers on a thin instance."""

from boragespring.gateway.daemon import Gateway

__all__ = ["Gateway"]
