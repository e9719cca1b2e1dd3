"""The protocol between instances: Thrift structs in length-prefixed frames over TCP."""

from rhubarbbend.peers._codec import FrameAuthenticator, FrameError, decode_frame, encode_frame
from rhubarbbend.peers._links import PeerLinks, PeerListener
from rhubarbbend.peers._tunnels import (
    TunnelDeclined,
    TunnelOpener,
    decline_tunnel,
    serve_tunnel,
)

__all__ = [
    "FrameError",
    "FrameAuthenticator",
    "PeerLinks",
    "PeerListener",
    "TunnelDeclined",
    "TunnelOpener",
    "decline_tunnel",
    "decode_frame",
    "encode_frame",
    "serve_tunnel",
]
