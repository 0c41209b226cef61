"""Replies without end to an agent are read no further than they can be of use."""

import asyncio
import tracemalloc

import pytest

from boragespring.engines import EngineError, create_service_client
from boragespring.engines.tests.test_unsound_replies import (
    call_service,
    create_vllm_client,
    generate,
)
from boragespring.http.tests.raw_server import endless_server

#: More than this must never be held of one reply.
MEMORY_MAX_BYTES = 40 * 2**20
#: Time within which the caller has an answer, whatever the server goes on to send.
ANSWER_MAX_S = 10.0
PIECE = b"x" * 65536
CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n"
#: Beginnings of replies, and what follows them again and again.
FORMS = {
    "head": (b"HTTP/1.1 200 OK\r\n", b"X-Field: value\r\n" * 4096),
    "body": (b"HTTP/1.1 200 OK\r\n" + CHUNKS, b"10000\r\n" + PIECE + b"\r\n"),
    "failure": (b"HTTP/1.1 500 x\r\n" + CHUNKS, b"10000\r\n" + PIECE + b"\r\n"),
    "refusal": (b"HTTP/1.1 503 x\r\n\r\n", PIECE),
}


CALLS = {
    "call": (create_service_client, call_service),
    "generation": (create_vllm_client, generate),
}


# Guards against an agent that keeps all of a reply, or reads it for ever.
@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("name", CALLS)
async def test_endless_reply_is_bounded(name, form):
    create, call = CALLS[name]
    async with endless_server(*FORMS[form]) as port:
        client = create(f"http://127.0.0.1:{port}")
        tracemalloc.start()
        try:
            with pytest.raises(EngineError):
                async with asyncio.timeout(ANSWER_MAX_S):
                    await call(client)
            assert tracemalloc.get_traced_memory()[1] < MEMORY_MAX_BYTES
        finally:
            tracemalloc.stop()
            await client.close()
