"""Build the client of the platform's key-value store."""

from prometheus_client import CollectorRegistry

from boragespring.metrics.store import StoreMetrics
from boragespring.settings import PlatformSettings
from boragespring.store import BudgetedStore, BudgetSettings, EtcdSettings, EtcdStore

__all__ = ["build_store"]


def build_store(
    settings: PlatformSettings, registry: CollectorRegistry
) -> BudgetedStore:
    """Return a store client that is limited to the call rates of this process.

    Parameters
    ----------
    settings : PlatformSettings
        Addresses, timeouts and call rates of the store.
    registry : CollectorRegistry
        Registry for the metrics of the store calls.
    """
    etcd = EtcdStore(
        EtcdSettings(
            urls=tuple(settings.store_urls),
            connect_timeout_s=settings.call_timeout_s,
            call_timeout_s=settings.call_timeout_s,
            silence_timeout_s=settings.store_silence_timeout_s,
        )
    )
    store = BudgetedStore(
        etcd,
        BudgetSettings(
            writes_per_s=settings.store_writes_per_s,
            reads_per_s=settings.store_reads_per_s,
        ),
    )
    StoreMetrics(registry, store.counters)
    return store
