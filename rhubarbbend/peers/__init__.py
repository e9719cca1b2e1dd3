"""The protocol between instances: Thrift structs in length-prefixed frames over TCP."""

from rhubarbbend.peers._codec import FrameAuthenticator, FrameError, decode_frame, encode_frame
from rhubarbbend.peers._links import PeerLinks, PeerListener

__all__ = [
    "FrameError",
    "FrameAuthenticator",
    "PeerLinks",
    "PeerListener",
    "decode_frame",
    "encode_frame",
]
