"""The neutral key-value store, instance list and weight store, with adapters."""

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
