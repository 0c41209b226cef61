"""Sound HTTP replies of which it is in doubt whose they are, or what their body is."""

import pytest

from boragespring.http.tests.raw_server import raw_server
from boragespring.platform import names
from boragespring.platform.emulator.catalog import MODEL_SERVICE, PLAIN_SERVICE
from boragespring.platform.tests.raw_replies import replies_with
from boragespring.platform.tests.stream_support import post_draft
from boragespring.platform.tests.support import deployment, request_headers
from boragespring.platform.tests.test_unsound_replies import (
    EVENT,
    check_refused,
    register_and_wait,
    with_report,
)

FIELDS = {
    "second id": f"{names.REQUEST_ID}: other\r\n",
    "second signature": f"{names.SIGNATURE}: other\r\n",
    "second encoding": "Content-Encoding: identity\r\nContent-Encoding: gzip\r\n",
    "encoding": "Content-Encoding: identity\r\n",
    "no encoding": "Content-Encoding: \r\n",
}
STATUSES = [200, 404]


def make_head(status, fields):
    return f"HTTP/1.1 {status} x\r\n{{fields}}{FIELDS[fields]}Content-Length: 2\r\n\r\n"


# Guards against a reply with two identifiers or signatures, or a second encoding, of
# which only the first was looked at.
@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("fields", FIELDS)
async def test_caller_of_a_service_gets_no_ambiguous_reply(session, fields, status):
    async with (
        raw_server(replies_with(make_head(status, fields), b"no")) as port,
        deployment(services=0) as platform,
    ):
        await register_and_wait(platform, "desk-9", PLAIN_SERVICE, port)
        url = platform.gateways[0].url + "/book/x"
        async with session.post(url, headers=request_headers("r1")) as response:
            await check_refused(response)


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("fields", FIELDS)
async def test_caller_of_a_stream_gets_no_ambiguous_reply(session, fields, status):
    reply = with_report(replies_with(make_head(status, fields), EVENT))
    async with raw_server(reply) as port, deployment(engines=0) as platform:
        await register_and_wait(platform, "engine-9", MODEL_SERVICE, port)
        async with post_draft(session, platform.gateways[0], "r1") as response:
            await check_refused(response)
