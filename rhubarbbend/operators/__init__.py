"""Remote procedure calls for operators of the fleet: schema, server and client."""

from rhubarbbend.operators._checks import find_unknown_target_kinds
from rhubarbbend.operators._client import OperatorClient
from rhubarbbend.operators._schema import SCHEMA, derive_operator_key
from rhubarbbend.operators._server import ChangeAnswer, OperatorServer

__all__ = [
    "SCHEMA",
    "ChangeAnswer",
    "OperatorClient",
    "OperatorServer",
    "find_unknown_target_kinds",
    "derive_operator_key",
]
