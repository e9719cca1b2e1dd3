"""The limit on open requests of an account."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from rhubarbbend.core.configuration import Account
from rhubarbbend.core.limits import LIMITS


@given(steps=st.lists(st.tuples(st.booleans(), st.integers(0, 2)), max_size=60))
def test_an_account_is_over_its_limit_exactly_when_it_has_more_open(
    steps: list[tuple[bool, int]],
) -> None:
    limit = LIMITS.find("in_flight")()
    accounts = [Account(name=f"a{n}", key_digest="", max_in_flight=n + 1) for n in range(3)]
    held = [0, 0, 0]
    for opens, number in steps:
        if opens:
            held[number] += 1
            assert limit.open(accounts[number], 0.0) == (held[number] <= number + 1)
        elif held[number]:
            held[number] -= 1
            limit.close(accounts[number])
