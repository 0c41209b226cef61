"""Catalog of the routes, services and workspaces that operators configure."""

from boragespring.catalog.holder import CatalogHolder
from boragespring.catalog.model import (
    CallerLimits,
    Catalog,
    EngineProfile,
    RequestKind,
    Route,
    Service,
    ServiceShare,
    Workspace,
)

__all__ = [
    "CallerLimits",
    "Catalog",
    "CatalogHolder",
    "EngineProfile",
    "RequestKind",
    "Route",
    "Service",
    "ServiceShare",
    "Workspace",
]
