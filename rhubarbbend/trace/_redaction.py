"""Replaces private contents of events and actions by digests, alike when recording and replaying.

A trace must not contain callers' request or response bodies, idempotency keys, or anything signed
with the fleet's secret. The core's decisions depend on them, though: it compares keys, decodes
tickets and verifies signatures. Therefore equal contents are replaced by equal digests, and tickets
and reserved keys are signed again with a public secret, with which the replayed core verifies them.

All replacements are idempotent, so the redacted actions of the recorded core equal those of the
replayed core, which handles contents that are redacted already.
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
from rhubarbbend.decoding import decode_json
from rhubarbbend.trace._format import TRACE_SECRET

_DIGEST_CHARS: Final = 24
_KEY_DIGEST: Final = re.compile(r"key-digest\.[0-9a-f]{24}")
_INVALID_KEY_DIGEST: Final = re.compile(r"no valid key [0-9a-f]{24}")
_BODY_DIGEST: Final = re.compile(rb"body-digest\.[0-9a-f]{24}")
# Part of the replacement of a reserved key or ticket that does not verify with the fleet's secret.
# The replacement does not verify either, so the replayed core treats it as the recorded core did.
_FORGED: Final = "forged"
# Names of fields whose value is replaced in every message, event and action.
_BODY_FIELDS: Final = frozenset({"body"})
_KEY_FIELDS: Final = frozenset({"key"})

# Returns the client account of an API key's digest, or "" if there is none.
FindAccount = Callable[[str], str]
# Returns the replacement of an account's idempotency key.
RedactKey = Callable[[str, str], str]


def _digest(data: bytes) -> str:
    return hashlib.blake2b(data).hexdigest()[:_DIGEST_CHARS]


def redact_body(body: bytes) -> bytes:
    """Return the replacement of a body: its digest, or an empty body for an empty one."""
    if not body or _BODY_DIGEST.fullmatch(body):
        return body
    return b"body-digest." + _digest(body).encode()


def _redact_unreserved_key(key: str) -> str:
    if not key or _KEY_DIGEST.fullmatch(key) or _INVALID_KEY_DIGEST.fullmatch(key):
        return key
    # A key that the core rejects as invalid must be replaced by one that it rejects too: the
    # spaces of this prefix make it invalid.
    prefix = "key-digest." if is_valid_key(key) else "no valid key "
    return prefix + _digest(key.encode())


def _redact_action_key(account: str, key: str) -> str:
    """Redact a key in an action; a reserved key only loses its signature."""
    if not has_reserved_prefix(key):
        return _redact_unreserved_key(key)
    return key.rpartition(".")[0]


def _redact_claim_row(value: bytes) -> bytes:
    """Redact the body in a stored claim; a value that is not a claim is replaced by its digest."""
    try:
        row = decode_json(value)
        body = base64.b64decode(row["body"], validate=True)
    except (msgspec.MsgspecError, UnicodeDecodeError, binascii.Error, LookupError, TypeError):
        return redact_body(value)
    row["body"] = base64.b64encode(redact_body(body)).decode()
    return msgspec.json.encode(row)


def _redact_table_key(table_key: str, redact_key: RedactKey) -> str:
    account, key = split_table_key(table_key)
    return (
        make_table_key(account, redact_key(account, key)) if account else redact_key("", table_key)
    )


def _redact_row(row: dict[str, Any], redact_key: RedactKey) -> None:
    row["key"] = _redact_table_key(row["key"], redact_key)
    row["value"] = _redact_claim_row(row["value"])


def _redact_tree(node: Any, redact_key: RedactKey) -> None:
    """Redact the fields of a struct in place, given as nested dicts and lists."""
    if isinstance(node, list | tuple):
        for entry in node:
            _redact_tree(entry, redact_key)
        return
    if not isinstance(node, dict):
        return
    for name, value in node.items():
        if name in _BODY_FIELDS and isinstance(value, bytes):
            node[name] = redact_body(value)
        elif name in _KEY_FIELDS and isinstance(value, str):
            node[name] = _redact_key_field(node, value, redact_key)
        else:
            _redact_tree(value, redact_key)


def _redact_key_field(node: dict[str, Any], key: str, redact_key: RedactKey) -> str:
    if "account" in node:
        return redact_key(node["account"], key)
    return _redact_table_key(key, redact_key)


def _to_tree(struct: msgspec.Struct) -> dict[str, Any]:
    tree = msgspec.to_builtins(struct, builtin_types=(bytes,))
    assert isinstance(tree, dict)
    return tree


def _strip_ticket_signature(ticket: str) -> str:
    """Return a ticket's payload in hexadecimal.

    The signature is left out because it depends on the secret.
    """
    raw = base64.urlsafe_b64decode(ticket + "=" * (-len(ticket) % 4))
    return raw[SIGNATURE_BYTES:].hex()


def redact_action(action: actions.Action) -> dict[str, Any]:
    """Return an action as nested dicts and lists, without private contents and signatures."""
    tree = _to_tree(action)
    if isinstance(action, actions.WriteRows):
        for write in tree["writes"]:
            if write["table"] == CLAIM_TABLE:
                _redact_row(write, _redact_action_key)
    elif isinstance(action, actions.ReadRow | actions.ScanRows):
        if action.table == CLAIM_TABLE:
            _redact_tree(tree, _redact_action_key)
    elif isinstance(action, actions.GiveKeys):
        tree["keys"] = [_redact_action_key("", key) for key in action.keys]
    else:
        if tree.get("ticket"):
            tree["ticket"] = _strip_ticket_signature(tree["ticket"])
        _redact_tree(tree, _redact_action_key)
    return tree


class EventRedactor:
    """Redacts events.

    It holds the fleet's secret, to verify tickets and reserved keys before it signs them again with
    the trace's public secret.
    """

    def __init__(self, secret: bytes, find_account: FindAccount) -> None:
        self._secret = secret
        self._find_account = find_account

    def redact(self, event: events.Event) -> dict[str, Any]:
        """Return an event as nested dicts and lists, without private contents.

        A core with the trace's public secret makes the same decisions on the result as the recorded
        core does on the event.
        """
        tree = _to_tree(event)
        if isinstance(event, events.RequestArrived):
            account = self._find_account(event.key_digest)
            tree["key"] = self._redact_event_key(account, event.key)
            tree["ticket"] = self._sign_ticket_again(account, event.chat, event.ticket)
        elif isinstance(event, events.WriteDone | events.RowsRead):
            if event.op.startswith(CLAIM_OP_PREFIX):
                for row in tree["rows"]:
                    if row is not None:
                        _redact_row(row, self._redact_event_key)
        elif isinstance(event, events.PeerSaid) and isinstance(event.message, ReservedRun):
            message = tree["message"]
            message["key"] = self._redact_event_key(event.message.account, event.message.key)
            message["body"] = redact_body(message["body"])
        else:
            _redact_tree(tree, self._redact_event_key)
        return tree

    def _redact_event_key(self, account: str, key: str) -> str:
        if not has_reserved_prefix(key):
            return _redact_unreserved_key(key)
        found = decode_reserved_key(self._secret, account, key)
        if isinstance(found, Success):
            return encode_reserved_key(TRACE_SECRET, account, found.unwrap())
        return f"{RESERVED_PREFIX}{_digest(key.encode())}.{_FORGED}"

    def _sign_ticket_again(self, account: str, chat: str, text: str) -> str:
        if not text:
            return text
        found = decode_ticket(self._secret, account, chat, text)
        if isinstance(found, Some):
            return encode_ticket(TRACE_SECRET, account, chat, found.unwrap())
        return f"{_FORGED}.{_digest(text.encode())}"
