"""Load the Thrift schema of the operators' calls and derive the key that authenticates them."""

from __future__ import annotations

import hashlib
import hmac
from importlib import resources
from typing import Any, Final

import thriftpy2

KEY_CONTEXT: Final = b"rhubarbbend operator key 1"


def _load_schema() -> Any:
    text = resources.files("rhubarbbend.schema").joinpath("operators.thrift")
    with text.open("r", encoding="utf-8") as source:
        return thriftpy2.load_fp(source, "rhubarbbend_operators_thrift")


SCHEMA: Final[Any] = _load_schema()


def derive_operator_key(secret: bytes) -> str:
    """Derive the operators' key from the fleet's secret. The secret itself is never sent."""
    return hmac.new(secret, KEY_CONTEXT, hashlib.blake2b).hexdigest()[:64]
