"""Link messages about orders.

Message codes 70 to 79 are reserved for this package.
"""

from boragespring.links import message

__all__ = ["OrderReply", "OrderRequest", "ServerReport", "ServerReportQuery"]


@message(70)
class ServerReportQuery:
    """Query an agent for the state of its backend server.

    Parameters
    ----------
    region : str
        Region of the entry that sends the query.
    """

    region: str


@message(71)
class ServerReport:
    """State of a backend server as known to its agent.

    Parameters
    ----------
    models : dict
        Version of each loaded model, by name; empty for a model that was not
        loaded by an order since the agent started.
    adapters : dict
        Version of each adapter that was loaded by an order since the agent
        started, by ``model/adapter``.
    role : str
        Role set by the last order since the agent started; empty for none.
    loading : str
        Name in the order that is being carried out; empty for none.
    highest_fence : int
        Highest fencing number seen since the agent started.
    failure : str
        Error of the last order; empty if it succeeded.
    """

    models: dict[str, str]
    adapters: dict[str, str]
    role: str
    loading: str
    highest_fence: int
    failure: str


@message(72)
class OrderRequest:
    """Order to a backend server from the holder of its service's duty.

    A duplicate with the same kind, name and version has no further effect.

    Parameters
    ----------
    kind : str
        Value of `OrderKind`.
    name : str
        Name of the model, adapter (``model/adapter``) or role.
    version : str
        Version to load; empty for a role.
    fencing_number : int
        Fencing number of the sender's duty.
    lists_version : int
        Version of the lists that the order is based on.
    """

    kind: str
    name: str
    version: str
    fencing_number: int
    lists_version: int


@message(73)
class OrderReply:
    """Reply to `OrderRequest`.

    Parameters
    ----------
    is_accepted : bool
        Whether the agent accepted the order or had already carried it out.
    code : str
        Value of `RefusalCode` if the order was rejected; empty otherwise.
    reason : str
        Details of the rejection for operators.
    """

    is_accepted: bool
    code: str
    reason: str
