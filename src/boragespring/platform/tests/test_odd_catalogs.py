"""Configurations whose values cannot be used; the one before stays in force."""

import json

import pytest

from boragespring.platform import names
from boragespring.platform.catalog_codec import CatalogUnreadableError, decode_catalog
from boragespring.platform.emulator.catalog import (
    STANDARD_ROUTES,
    route_document,
    service_documents,
)
from boragespring.platform.emulator.engine_spec import EngineSpec
from boragespring.platform.tests.support import (
    deployment,
    fetch_status,
    log_records,
    wait_until,
)

NAN, INFINITE = float("nan"), float("inf")


def catalog(version=1000, workspace="coop", route=None, engine=None, **limits):
    """Return a configuration with some fields of its first plain route replaced."""
    routes = [route_document("desk.example", each) for each in STANDARD_ROUTES]
    routes[1] |= route or {}
    services = service_documents(EngineSpec())
    services[0]["engine"] |= engine or {}
    document = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
        "tenants": [{"name": workspace, "api_keys": ["key-1"]}],
    }
    return json.dumps(document).encode()


def split(*weights):
    return {"split": [{"service": "desk", "weight": weight} for weight in weights]}


ODD_CATALOGS = [
    catalog(route={"timeout_ms": NAN}),
    catalog(route={"timeout_ms": INFINITE}),
    catalog(route={"priority": 10**400}),
    catalog(route={"path_prefix": "/\ud800/"}),
    catalog(route={"host": "desk\n"}),
    catalog(route=split(NAN, 1.0)),
    catalog(route=split(-1.0)),
    catalog(workspace="coop\r\nX-More: 1"),
    catalog(engine={"kv_cache_tokens": 10**400}),
    catalog(engine={"link_mbps": NAN}),
    catalog(version=10**400),
    catalog(header_timeout_ms=INFINITE),
]


@pytest.mark.parametrize("data", ODD_CATALOGS)
def test_odd_value_makes_a_configuration_unreadable(data):
    with pytest.raises(CatalogUnreadableError, match="allowed"):
        decode_catalog(data)


# Guards against a split of a route for which all its requests get 500.
@pytest.mark.parametrize(
    ("weights", "status"), [((NAN, 1.0), 200), ((0.0, 0.0), 503), ((0.0, 1.0), 200)]
)
async def test_odd_split_of_a_route_gives_no_error(session, weights, status):
    async with deployment(services=1) as platform:
        process = platform.gateways[0]
        seen = len(log_records(process, "catalog"))
        platform.store.put(names.CATALOG_KEY, catalog(route=split(*weights)))
        await wait_until(
            lambda: (
                len(log_records(process, "catalog")) > seen
                or log_records(process, "catalog_unreadable")
            )
        )
        assert await fetch_status(session, process) == status
