"""Interfaces and clients of the platform's key-value, instance and weight services.

The interfaces are independent of any product; the adapters implement them over etcd,
over HTTP and in memory.
"""

from boragespring.store.budget import BudgetedStore, BudgetSettings
from boragespring.store.etcd import EtcdSettings, EtcdStore
from boragespring.store.instances import Instance, InstanceList, InstanceListError
from boragespring.store.instances_http import HttpInstanceList
from boragespring.store.keyspace import Keyspace
from boragespring.store.memory_store import MemoryStore, StoreFaults
from boragespring.store.store import (
    ConditionalWrite,
    KeyValue,
    KeyValueStore,
    Lease,
    StoreError,
    StoreUnavailableError,
    WriteOutcomeUnknownError,
    WriteResult,
)
from boragespring.store.weights import WeightStore, WeightStoreBusyError
from boragespring.store.weights_http import HttpWeightStore
from boragespring.store.write_resolution import WriteResolutionSettings, write_resolved

__all__ = [
    "BudgetSettings",
    "BudgetedStore",
    "ConditionalWrite",
    "EtcdSettings",
    "EtcdStore",
    "HttpInstanceList",
    "HttpWeightStore",
    "Instance",
    "InstanceList",
    "InstanceListError",
    "KeyValue",
    "KeyValueStore",
    "Keyspace",
    "Lease",
    "MemoryStore",
    "StoreError",
    "StoreFaults",
    "StoreUnavailableError",
    "WeightStore",
    "WeightStoreBusyError",
    "WriteOutcomeUnknownError",
    "WriteResolutionSettings",
    "WriteResult",
    "write_resolved",
]
