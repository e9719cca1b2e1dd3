"""The interface of a limit of client accounts."""

from __future__ import annotations

import abc
from typing import Final

from rhubarbbend.core.configuration import Account
from rhubarbbend.kernel import Registry


class AccountLimit(abc.ABC):
    """Counts the open requests of accounts at this instance.

    Hooks: `open` is called once for each request of an account before anything is done for it,
    `close` once when that request has its final answer, refused or not.
    """

    @abc.abstractmethod
    def open(self, account: Account, now: float) -> bool:
        """Count a request; False if the account is over its limit with it."""

    @abc.abstractmethod
    def close(self, account: Account) -> None:
        """Count the end of a request."""


LIMITS: Final[Registry[AccountLimit]] = Registry("account limit")
