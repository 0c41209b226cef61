"""Clients of backend servers: model engines of several vendors and plain services."""

from boragespring.engines.client import (
    CallNotRunError,
    CallOutcomeUnknownError,
    EngineClient,
    EngineError,
    FinishReason,
    GenerationFailedError,
    GenerationRequest,
    LoadReport,
    ServiceCall,
    ServiceClient,
    ServiceReply,
    TokenBatch,
)
from boragespring.engines.engine_client import (
    EngineClientSettings,
    HttpEngineClient,
    RequestRejectedError,
    create_engine_client,
)
from boragespring.engines.load_reports import LoadReportError, LoadReportFault
from boragespring.engines.orders import EngineOrder, OrderKind, OrderRefusedError
from boragespring.engines.service_client import HttpServiceClient, create_service_client
from boragespring.engines.vendors import (
    Orca,
    Sglang,
    Tgi,
    Vendor,
    VendorName,
    Vllm,
    create_vendor,
)

__all__ = [
    "CallNotRunError",
    "CallOutcomeUnknownError",
    "EngineClient",
    "EngineClientSettings",
    "EngineError",
    "EngineOrder",
    "FinishReason",
    "GenerationFailedError",
    "GenerationRequest",
    "HttpEngineClient",
    "HttpServiceClient",
    "LoadReport",
    "LoadReportError",
    "LoadReportFault",
    "Orca",
    "OrderKind",
    "OrderRefusedError",
    "RequestRejectedError",
    "ServiceCall",
    "ServiceClient",
    "ServiceReply",
    "Sglang",
    "Tgi",
    "TokenBatch",
    "Vendor",
    "VendorName",
    "Vllm",
    "create_engine_client",
    "create_service_client",
    "create_vendor",
]
