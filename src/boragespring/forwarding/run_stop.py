"""Stop a run on its server and copy its memory to the server where it goes on."""

from boragespring.fleet import BackendServer
from boragespring.forwarding.context import ForwardingContext
from boragespring.forwarding.errors import (
    CopyRefusedError,
    RunNotFoundError,
    ServerUnreachableError,
)
from boragespring.forwarding.running_stream import Handover, RunningStream

__all__ = ["stop_run"]


async def stop_run(
    context: ForwardingContext, stream: RunningStream, target: BackendServer
) -> Handover:
    """Stop a run and make the final copy.

    The caller must hold ``stream.copy_lock``.

    Parameters
    ----------
    context : ForwardingContext
        Dependencies shared by all streams.
    stream : RunningStream
        Stream of the run. Its ``is_stopping`` is True afterwards unless the server
        stated that it did not stop the run.
    target : BackendServer
        Server that receives the copy.

    Returns
    -------
    Handover
        Where the stopped run can continue: on the target or, if the target did not
        take the copy, on its own server.

    Raises
    ------
    CopyRefusedError
        If the run was not stopped.
    ForwardingError
        If the server does not know the run or did not reply.
    """
    source = stream.server
    stream.is_stopping = True
    try:
        copy = await context.calls.copy_run(
            source, stream.job.request_id, target.address, True
        )
    except CopyRefusedError as error:
        if error.copy_id:
            return Handover(source, source, error.copy_id)
        stream.is_stopping = False
        raise
    except (RunNotFoundError, ServerUnreachableError):
        stream.is_stopping = False
        raise
    return Handover(source, target, copy.copy_id)
