"""Names defined by the platform: headers, paths, keys and variables."""

from typing import Final

__all__ = [
    "CATALOG_KEY",
    "DRAINED_ZONE_PREFIX",
    "HOP_BY_HOP_HEADERS",
    "REGISTRATION_PREFIX",
    "SETTINGS_PATH_VARIABLE",
    "STRIPPED_CALLER_HEADERS",
]

SETTINGS_PATH_VARIABLE: Final = "BORAGESPRING_NODE_FILE"

CATALOG_KEY: Final = "op/config"
REGISTRATION_PREFIX: Final = "servers/"
#: Prefix of a key for each zone whose servers shall get nothing new.
DRAINED_ZONE_PREFIX: Final = "op/evacuate/"
READY_PATH: Final = "/readiness"

# Headers of a caller's request.
REQUEST_ID: Final = "Boragespring-Attempt-Id"
TIME_REMAINING_MS: Final = "Boragespring-Time-Remaining"
CREDENTIAL: Final = "Boragespring-Credential"
MODEL: Final = "Boragespring-Model"
#: Number of prompt tokens and maximum number of output tokens: ``"1460,80"``.
TOKEN_COUNTS: Final = "Boragespring-Token-Counts"
#: Parts of the prompt in order, with their lengths: ``"ID:TOKENS,ID:TOKENS"``.
PROMPT_PARTS: Final = "Boragespring-Prompt-Prefix"
OUTPUT_LENGTH_HINT: Final = "Boragespring-Length-Hint"
LAST_EVENT_ID: Final = "Last-Event-Id"

# Headers of a request to a backend server; only the gateway may set them.
WORKSPACE: Final = "Boragespring-Tenant"
EXPECTED_SERVER: Final = "Boragespring-Expected-Instance"
EXPECTED_VERSION: Final = "Boragespring-Expected-Version"
URGENCY: Final = "Boragespring-Request-Urgency"
RESERVATION: Final = "Boragespring-Hold"
RETAIN_MS: Final = "Boragespring-Pin-Duration"
BACKUP_TARGET: Final = "Boragespring-Kv-Cache-Backup"
COPY_SOURCE: Final = "Kv-From"
FETCH_SOURCE: Final = "Kv-Fetch"

# Headers of a backend server's reply.
SIGNATURE: Final = "Boragespring-Response-Signature"
NOT_RUN: Final = "Boragespring-Not-Executed"
#: Number of running requests, of waiting requests and of slots: ``"3,0,8"``. A fourth
#: number is how long work takes on the server's machine, in percent of the usual time.
SERVER_LOAD: Final = "Boragespring-Server-Load"
RETRY_AFTER: Final = "Retry-After"
#: Time in milliseconds for which the server stays cold.
COLD_REMAINING_MS: Final = "Boragespring-Cold-Remaining"
#: ``"1"`` in all replies of a server that leaves.
SERVER_LEAVING: Final = "Server-Leaving"
#: Requests a second that the server takes from all gateways together, as a decimal
#: number, in all its replies for as long as it holds.
SERVER_LIMIT: Final = "Server-Limit"

#: Headers of a reply that say whose it is, and that stand in it once.
SINGLE_REPLY_HEADERS: Final = (REQUEST_ID, SIGNATURE)

# Header of every reply of the store. Its value rises by one each time that the store
# returns without changes that it had acknowledged.
STORE_ERA: Final = "Store-Era"

#: Headers that apply to a single connection and are not forwarded, in lower case.
HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)

#: Headers that are removed from a caller's request, in lower case.
STRIPPED_CALLER_HEADERS: Final = HOP_BY_HOP_HEADERS | frozenset(
    name.lower()
    for name in (
        CREDENTIAL,
        TIME_REMAINING_MS,
        WORKSPACE,
        EXPECTED_SERVER,
        EXPECTED_VERSION,
        URGENCY,
        RESERVATION,
        RETAIN_MS,
        BACKUP_TARGET,
        COPY_SOURCE,
        FETCH_SOURCE,
        LAST_EVENT_ID,
    )
)
