"""Bodies that are collected as they arrive."""

import asyncio

import pytest
from aiohttp.streams import StreamReader

from boragespring.http.upload import (
    Upload,
    UploadEvictedError,
    UploadMalformedError,
    UploadTooLargeError,
)


class IdleProtocol:
    _reading_paused = False
    connected = True

    def pause_reading(self):
        pass

    def resume_reading(self, resume_parser=True):
        pass


@pytest.fixture
async def payload():
    return StreamReader(IdleProtocol(), 2**16, loop=asyncio.get_running_loop())


async def test_body_is_returned_whole(payload):
    upload = Upload(payload, 100)
    reading = asyncio.create_task(upload.read())
    for piece in (b"a", b"b", b"c"):
        payload.feed_data(piece)
        assert upload.collect()
    await asyncio.sleep(0)
    assert upload.is_awaited and not reading.done()
    payload.feed_eof()
    assert not upload.collect()
    assert await reading == b"abc"


async def test_large_body_is_dropped_with_its_rest(payload):
    upload = Upload(payload, 3)
    for _ in range(4):
        payload.feed_data(b"xy")
        upload.collect()
    assert (upload.kept_bytes, upload.received_bytes) == (0, 8)
    with pytest.raises(UploadTooLargeError):
        await upload.read()


async def test_first_error_is_raised_to_who_waits(payload):
    upload = Upload(payload, 100)
    payload.feed_data(b"abc")
    upload.collect()
    reading = asyncio.create_task(upload.read())
    await asyncio.sleep(0)
    upload.fail(UploadEvictedError("first"))
    upload.fail(UploadMalformedError("second"))
    with pytest.raises(UploadEvictedError):
        await reading
    assert upload.kept_bytes == 0


async def test_error_of_the_parser_ends_the_upload(payload):
    upload = Upload(payload, 100)
    payload.set_exception(ValueError("odd chunk"))
    upload.collect()
    with pytest.raises(UploadMalformedError, match="odd chunk"):
        await upload.read()
