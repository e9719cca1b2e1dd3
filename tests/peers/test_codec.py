"""Peer frames: every message survives a round trip, and invalid frames are never decoded."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbbend.core import messages
from rhubarbbend.core.messages import Heartbeat, Message, ReservedRun, SlotRequest, TargetLoad
from rhubarbbend.peers import (
    FrameAuthenticator,
    FrameError,
    PeerListener,
    decode_frame,
    encode_frame,
)
from rhubarbbend.peers._links import make_hello

SECRET = b"a secret of the tests"
AUTHENTICATOR = FrameAuthenticator(SECRET)
MESSAGE_CLASSES = [
    message_class
    for message_class in vars(messages).values()
    if isinstance(message_class, type)
    and issubclass(message_class, Message)
    and getattr(message_class, "FIELD", "")
]
FRAMES = [
    AUTHENTICATOR.sign(encode_frame("a1", message))
    for message in (
        SlotRequest(attempt="x", instance="a1", target="t", account="acc"),
        ReservedRun(request="x", key="k", body=b"body", time_left=3.0, arrived=1e9),
        Heartbeat(instance="a1", loads=[TargetLoad(target="t")]),
    )
]
BOUNDED = settings(max_examples=300, deadline=None, derandomize=True)


@pytest.mark.parametrize(
    "message_class", MESSAGE_CLASSES, ids=lambda message_class: message_class.__name__
)
def test_every_message_survives_a_round_trip(message_class: type[Message]) -> None:
    frame = AUTHENTICATOR.sign(encode_frame("a1", message_class()))
    assert decode_frame(AUTHENTICATOR.verify(frame[4:])) == ("a1", message_class())


@BOUNDED
@given(st.binary(max_size=300))
def test_garbage_is_not_decoded(data: bytes) -> None:
    with pytest.raises(FrameError):
        AUTHENTICATOR.verify(data)


@BOUNDED
@given(st.sampled_from(FRAMES), st.integers(0, 400), st.integers(1, 255), st.integers(0, 40))
def test_changed_or_shortened_frames_are_not_decoded(
    frame: bytes, at: int, change: int, cut: int
) -> None:
    data = bytearray(frame[4:])
    data[at % len(data)] ^= change
    with pytest.raises(FrameError):
        AUTHENTICATOR.verify(bytes(data))
    if cut:
        with pytest.raises(FrameError):
            AUTHENTICATOR.verify(frame[4:-cut])


def test_frames_of_another_fleet_are_not_decoded() -> None:
    with pytest.raises(FrameError):
        FrameAuthenticator(b"another secret").verify(FRAMES[0][4:])


@pytest.mark.parametrize(
    "sent",
    [
        b"\x00" * 64,
        make_hello(SECRET) + b"\xff\xff\xff\xff" + b"x" * 100,
        make_hello(SECRET) + b"\x00\x00\x00\x64" + b"x" * 100,
        make_hello(SECRET) + FRAMES[2][:20] + b"\x7f\xff\xff\xff" + FRAMES[2][24:],
    ],
)
def test_listener_closes_connection_on_malformed_data_and_serves_others(sent: bytes) -> None:
    """A sender that is not an instance, or a corrupting connection, sends malformed data.

    The connection must be closed and counted at once, and messages of instances still received.
    """
    senders: list[str] = []
    bad_frames: list[int] = []

    async def scenario() -> None:
        listener = PeerListener(
            SECRET, lambda s, m: senders.append(s), lambda: bad_frames.append(1)
        )
        port = await listener.listen("127.0.0.1", 0)
        async with asyncio.timeout(5.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(sent)
            assert await reader.read() == b""
            writer.close()
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(make_hello(SECRET) + FRAMES[0])
            while not senders:
                await asyncio.sleep(0.01)
            writer.close()
        await listener.close()

    asyncio.run(scenario())
    assert (senders, bad_frames) == (["a1"], [1])
