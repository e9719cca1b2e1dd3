"""The interface of limits of client accounts."""

from __future__ import annotations

import abc
from typing import Final

from rhubarbbend.core.configuration import Account
from rhubarbbend.kernel import Registry


class AccountLimit(abc.ABC):
    """Counts the open requests of accounts at this instance.

    `record_opened` is called once for each request of an account, before any other work is done for
    it, and `record_closed` once when that request has its final answer, even if it was refused.
    """

    @abc.abstractmethod
    def record_opened(self, account: Account, now: float) -> bool:
        """Count a request and return False if it puts the account over its limit.

        The request is counted in either case.
        """

    @abc.abstractmethod
    def record_closed(self, account: Account) -> None:
        """Stop counting a request that has ended."""


LIMITS: Final[Registry[AccountLimit]] = Registry("account limit")
