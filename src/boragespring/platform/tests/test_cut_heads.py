"""A reply that ends within its head is no reply, whatever the head has said so far."""

import pytest

from boragespring.platform.emulator.service import EmulatedService
from boragespring.platform.tests.support import deployment, request_headers

HEAD_TEMPLATE = (
    "HTTP/1.1 200 OK\r\n"
    "Boragespring-Attempt-Id: {request_id}\r\n"
    "Boragespring-Response-Signature: signed\r\n"
    "{length}Content-Type: text/plain\r\n\r\n"
)


# Guards against a 200 with an empty or short body that is framed as whole, after a
# server has stopped within the head of its reply and closed the connection.
@pytest.mark.parametrize("sent_bytes", [5, 17, 30, 60, 90, 110, -4, -3, -2, -1])
@pytest.mark.parametrize("length", ["Content-Length: 20\r\n", ""])
async def test_reply_that_ends_within_its_head_is_lost(
    session, monkeypatch, sent_bytes, length
):
    async def write_part_of_head(_, fault, request_id, writer):
        head = HEAD_TEMPLATE.format(request_id=request_id, length=length)
        writer.write(head.encode()[:sent_bytes])
        await writer.drain()
        writer.close()

    monkeypatch.setattr(EmulatedService, "_write_reply", write_part_of_head)
    async with deployment(services=1) as platform:
        url = platform.gateways[0].url + "/book/x"
        async with session.post(url, headers=request_headers("r1")) as response:
            assert response.status == 502
            assert "Boragespring-Response-Signature" not in response.headers
