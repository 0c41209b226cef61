"""Replies of backend servers about whose heads anything is in doubt count as none."""

import asyncio

import pytest

from boragespring.engines import (
    CallOutcomeUnknownError,
    EngineError,
    GenerationFailedError,
    GenerationRequest,
    LoadReportError,
    VendorName,
    create_engine_client,
    create_service_client,
)
from boragespring.engines.client import ServiceCall
from boragespring.http.tests.raw_server import raw_server, replies_with
from boragespring.http.tests.reply_heads import SOUND_HEADS, UNSOUND_HEADS

MODELS = b'{"data": [{"id": "m"}]}'


async def call_service(client):
    return await client.call(ServiceCall("POST", "/x", {}, b""))


async def generate(client):
    request = GenerationRequest("r1", "m", "prompt", 8)
    return [batch async for batch in client.generate(request)]


def create_vllm_client(url):
    return create_engine_client(VendorName.VLLM, url)


#: Readers of answers, a body that each can read, and the errors for unusable answers.
READERS = {
    "call": (create_service_client, call_service, b"no", CallOutcomeUnknownError),
    "generation": (create_vllm_client, generate, b"no", GenerationFailedError),
    "models": (create_vllm_client, lambda client: client.models(), MODELS, EngineError),
    "report": (
        create_service_client,
        lambda client: client.fetch_load_report(),
        b"no",
        LoadReportError,
    ),
}


async def read(reader, head):
    create, call, body, _ = READERS[reader]
    async with raw_server(replies_with(head, body)) as port, asyncio.timeout(5.0):
        client = create(f"http://127.0.0.1:{port}")
        try:
            return await call(client)
        finally:
            await client.close()


# Guards against a head in doubt that an agent reads as an answer.
@pytest.mark.parametrize("reader", READERS)
@pytest.mark.parametrize("head", UNSOUND_HEADS)
async def test_head_in_doubt_is_no_answer(reader, head):
    with pytest.raises(READERS[reader][-1]):
        await read(reader, head)


async def test_sound_heads_are_answers():
    reply = await read("call", SOUND_HEADS[0])
    assert (reply.status, reply.body) == (200, b"no")
    assert await read("models", SOUND_HEADS[0]) == ("m",)
