"""Replaces contents in events and actions by digests, the same way at recording and at replay.

A trace must hold no caller's words, no idempotency key and nothing that was signed with the
fleet's secret. The core decides by those, though: it compares keys, reads tickets and checks
signatures. So equal contents become equal digests, and what the fleet has signed is signed anew
with a public secret, with which the replayed core checks it. Every replacement maps its own
results to themselves, so actions of the recorded and of the replayed core meet in one form.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import re
from collections.abc import Callable
from typing import Any, Final

import msgspec
from returns.maybe import Some
from returns.result import Success

from rhubarbbend.core import actions, events
from rhubarbbend.core.claims._claim_rows import CLAIM_TABLE, make_table_key, split_table_key
from rhubarbbend.core.claims._claim_writes import CLAIM_OP_PREFIX
from rhubarbbend.core.claims._keys import (
    RESERVED_PREFIX,
    decode_reserved_key,
    encode_reserved_key,
    has_reserved_prefix,
    is_valid_key,
)
from rhubarbbend.core.messages import ReservedRun
from rhubarbbend.core.routing._tickets import SIGNATURE_BYTES, decode_ticket, encode_ticket
from rhubarbbend.trace._format import TRACE_SECRET

_DIGEST_CHARS: Final = 24
_KEY_DIGEST: Final = re.compile(r"key-digest\.[0-9a-f]{24}")
_BAD_KEY_DIGEST: Final = re.compile(r"no valid key [0-9a-f]{24}")
_BODY_DIGEST: Final = re.compile(rb"body-digest\.[0-9a-f]{24}")
_FORGED: Final = "forged"
# Fields of messages, events and actions that are replaced wherever they occur.
_BODY_FIELDS: Final = frozenset({"body"})
_KEY_FIELDS: Final = frozenset({"key"})

FindAccount = Callable[[str], str]
MapKey = Callable[[str, str], str]


def _digest(data: bytes) -> str:
    return hashlib.blake2b(data).hexdigest()[:_DIGEST_CHARS]


def redact_body(body: bytes) -> bytes:
    """Replace a body by its digest; an empty one stays empty."""
    if not body or _BODY_DIGEST.fullmatch(body):
        return body
    return b"body-digest." + _digest(body).encode()


def _redact_plain_key(key: str) -> str:
    if not key or _KEY_DIGEST.fullmatch(key) or _BAD_KEY_DIGEST.fullmatch(key):
        return key
    # A key that the core refuses has to become one that it refuses.
    prefix = "key-digest." if is_valid_key(key) else "no valid key "
    return prefix + _digest(key.encode())


def _strip_key(account: str, key: str) -> str:
    """Redact a key in an action: a reserved one loses its signature."""
    if not has_reserved_prefix(key):
        return _redact_plain_key(key)
    return key.rpartition(".")[0]


def _redact_claim_row(value: bytes) -> bytes:
    """Redact the outcome in a stored claim; what is no claim becomes its digest."""
    try:
        row = msgspec.json.decode(value)
        body = base64.b64decode(row["body"], validate=True)
    except (msgspec.MsgspecError, UnicodeDecodeError, binascii.Error, LookupError, TypeError):
        return redact_body(value)
    row["body"] = base64.b64encode(redact_body(body)).decode()
    return msgspec.json.encode(row)


def _map_table_key(table_key: str, map_key: MapKey) -> str:
    account, key = split_table_key(table_key)
    return make_table_key(account, map_key(account, key)) if account else map_key("", table_key)


def _redact_row(row: dict[str, Any], map_key: MapKey) -> None:
    row["key"] = _map_table_key(row["key"], map_key)
    row["value"] = _redact_claim_row(row["value"])


def _walk(node: Any, map_key: MapKey) -> None:
    """Redact a tree of a struct's fields in place."""
    if isinstance(node, list | tuple):
        for entry in node:
            _walk(entry, map_key)
        return
    if not isinstance(node, dict):
        return
    for name, value in node.items():
        if name in _BODY_FIELDS and isinstance(value, bytes):
            node[name] = redact_body(value)
        elif name in _KEY_FIELDS and isinstance(value, str):
            node[name] = _redact_key_field(node, value, map_key)
        else:
            _walk(value, map_key)


def _redact_key_field(node: dict[str, Any], key: str, map_key: MapKey) -> str:
    if "account" in node:
        return map_key(node["account"], key)
    return _map_table_key(key, map_key)


def _to_tree(struct: msgspec.Struct) -> dict[str, Any]:
    tree = msgspec.to_builtins(struct, builtin_types=(bytes,))
    assert isinstance(tree, dict)
    return tree


def _strip_ticket(ticket: str) -> str:
    """Leave out a ticket's signature, which differs with the secret."""
    raw = base64.urlsafe_b64decode(ticket + "=" * (-len(ticket) % 4))
    return raw[SIGNATURE_BYTES:].hex()


def redact_action(action: actions.Action) -> dict[str, Any]:
    """Give an action as a tree without contents and signatures."""
    tree = _to_tree(action)
    if isinstance(action, actions.WriteRows):
        for write in tree["writes"]:
            if write["table"] == CLAIM_TABLE:
                _redact_row(write, _strip_key)
    elif isinstance(action, actions.ReadRow | actions.ScanRows):
        if action.table == CLAIM_TABLE:
            _walk(tree, _strip_key)
    elif isinstance(action, actions.GiveKeys):
        tree["keys"] = [_strip_key("", key) for key in action.keys]
    else:
        if tree.get("ticket"):
            tree["ticket"] = _strip_ticket(tree["ticket"])
        _walk(tree, _strip_key)
    return tree


class EventRedactor:
    """Redacts events; knows the fleet's secret, to sign anew what was signed with it."""

    def __init__(self, secret: bytes, find_account: FindAccount) -> None:
        self._secret = secret
        self._find_account = find_account

    def redact(self, event: events.Event) -> dict[str, Any]:
        """Give an event as a tree that a core with the trace's secret decides alike on."""
        tree = _to_tree(event)
        if isinstance(event, events.RequestArrived):
            account = self._find_account(event.key_digest)
            tree["key"] = self._map_key(account, event.key)
            tree["ticket"] = self._sign_ticket(account, event.chat, event.ticket)
        elif isinstance(event, events.WriteDone | events.RowsRead):
            if event.op.startswith(CLAIM_OP_PREFIX):
                for row in tree["rows"]:
                    if row is not None:
                        _redact_row(row, self._map_key)
        elif isinstance(event, events.PeerSaid) and isinstance(event.message, ReservedRun):
            message = tree["message"]
            message["key"] = self._map_key(event.message.account, event.message.key)
            message["body"] = redact_body(message["body"])
        else:
            _walk(tree, self._map_key)
        return tree

    def _map_key(self, account: str, key: str) -> str:
        if not has_reserved_prefix(key):
            return _redact_plain_key(key)
        found = decode_reserved_key(self._secret, account, key)
        if isinstance(found, Success):
            return encode_reserved_key(TRACE_SECRET, account, found.unwrap())
        return f"{RESERVED_PREFIX}{_digest(key.encode())}.{_FORGED}"

    def _sign_ticket(self, account: str, chat: str, text: str) -> str:
        if not text:
            return text
        found = decode_ticket(self._secret, account, chat, text)
        if isinstance(found, Some):
            return encode_ticket(TRACE_SECRET, account, chat, found.unwrap())
        return f"{_FORGED}.{_digest(text.encode())}"
