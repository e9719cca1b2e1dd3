"""The client for operators, used by the command line."""

from __future__ import annotations

from types import TracebackType
from typing import Any

from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory
from thriftpy2.rpc import make_client
from thriftpy2.transport import TCyFramedTransportFactory

from rhubarbbend.operators._schema import SCHEMA

CALL_TIMEOUT_MS = 10_000


class OperatorClient:
    """A connection to the operator port of an instance, used as a context manager."""

    def __init__(self, address: tuple[str, int], key: str) -> None:
        self._address = address
        self._key = key
        self._client: Any = None

    def __enter__(self) -> OperatorClient:
        host, port = self._address
        self._client = make_client(
            SCHEMA.Operators,
            host,
            port,
            proto_factory=TCyBinaryProtocolFactory(),
            trans_factory=TCyFramedTransportFactory(),
            timeout=CALL_TIMEOUT_MS,
        )
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._client.close()

    def apply_change(
        self,
        change_id: str,
        author: str,
        base_version: int,
        declarations: list[tuple[str, str, bytes]],
    ) -> int:
        """Send a change set and return the version under which it was accepted.

        Raises the exceptions that the schema declares for `apply_change`.
        """
        change = SCHEMA.Change(
            change_id=change_id,
            author=author,
            base_version=base_version,
            declarations=[
                SCHEMA.Declaration(kind=kind, name=name, value=value)
                for kind, name, value in declarations
            ],
        )
        return int(self._client.apply_change(self._key, change))

    def show(self, what: str) -> Any:
        """Call show_config, show_zones, show_targets or show_instances and return its result.

        Raises `SCHEMA.NotAllowed` if the key is wrong; show_config also raises `SCHEMA.NotReady`.
        """
        return getattr(self._client, f"show_{what}")(self._key)
