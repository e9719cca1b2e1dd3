"""Peer frames: each message comes back, and what is damaged or forged is never decoded."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbbend.core import messages
from rhubarbbend.core.messages import Heartbeat, Message, ReservedRun, SlotRequest, TargetLoad
from rhubarbbend.peers import (
    FrameError,
    FrameSeal,
    PeerListener,
    decode_frame,
    encode_frame,
)
from rhubarbbend.peers._links import make_hello

SECRET = b"a secret of the tests"
SEAL = FrameSeal(SECRET)
KINDS = [
    kind
    for kind in vars(messages).values()
    if isinstance(kind, type) and issubclass(kind, Message) and getattr(kind, "FIELD", "")
]
FRAMES = [
    SEAL.close(encode_frame("a1", message))
    for message in (
        SlotRequest(attempt="x", instance="a1", target="t", account="acc"),
        ReservedRun(request="x", key="k", body=b"body", time_left=3.0, arrived=1e9),
        Heartbeat(instance="a1", loads=[TargetLoad(target="t")]),
    )
]
BOUNDED = settings(max_examples=300, deadline=None, derandomize=True)


@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.__name__)
def test_every_message_comes_back(kind: type[Message]) -> None:
    frame = SEAL.close(encode_frame("a1", kind()))
    assert decode_frame(SEAL.open(frame[4:])) == ("a1", kind())


@BOUNDED
@given(st.binary(max_size=300))
def test_garbage_is_not_decoded(data: bytes) -> None:
    with pytest.raises(FrameError):
        SEAL.open(data)


@BOUNDED
@given(st.sampled_from(FRAMES), st.integers(0, 400), st.integers(1, 255), st.integers(0, 40))
def test_changed_or_shortened_frames_are_not_decoded(
    frame: bytes, at: int, change: int, cut: int
) -> None:
    data = bytearray(frame[4:])
    data[at % len(data)] ^= change
    with pytest.raises(FrameError):
        SEAL.open(bytes(data))
    if cut:
        with pytest.raises(FrameError):
            SEAL.open(frame[4:-cut])


def test_frames_of_another_fleet_are_not_decoded() -> None:
    with pytest.raises(FrameError):
        FrameSeal(b"another secret").open(FRAMES[0][4:])


@pytest.mark.parametrize(
    "sent",
    [
        b"\x00" * 64,
        make_hello(SECRET) + b"\xff\xff\xff\xff" + b"x" * 100,
        make_hello(SECRET) + b"\x00\x00\x00\x64" + b"x" * 100,
        make_hello(SECRET) + FRAMES[2][:20] + b"\x7f\xff\xff\xff" + FRAMES[2][24:],
    ],
)
def test_a_listener_closes_on_garbage_and_serves_others(sent: bytes) -> None:
    """Something that is no instance, or a damaged connection, sends garbage. Its connection is
    closed and counted at once; an instance's message still comes through."""
    heard: list[str] = []
    bad: list[int] = []

    async def work() -> None:
        listener = PeerListener(SECRET, lambda s, m: heard.append(s), lambda: bad.append(1))
        port = await listener.listen("127.0.0.1", 0)
        async with asyncio.timeout(5.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(sent)
            assert await reader.read() == b""
            writer.close()
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(make_hello(SECRET) + FRAMES[0])
            while not heard:
                await asyncio.sleep(0.01)
            writer.close()
        await listener.close()

    asyncio.run(work())
    assert (heard, bad) == (["a1"], [1])
