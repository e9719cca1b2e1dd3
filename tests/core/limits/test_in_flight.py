"""The limit on an account's requests in flight."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from rhubarbbend.core.configuration import Account
from rhubarbbend.core.limits import LIMITS


@given(steps=st.lists(st.tuples(st.booleans(), st.integers(0, 2)), max_size=60))
def test_a_request_is_over_the_limit_exactly_if_more_are_in_flight(
    steps: list[tuple[bool, int]],
) -> None:
    limit = LIMITS.find("in_flight")()
    accounts = [Account(name=f"a{n}", key_digest="", max_in_flight=n + 1) for n in range(3)]
    in_flight = [0, 0, 0]
    for is_open, number in steps:
        if is_open:
            in_flight[number] += 1
            assert limit.record_opened(accounts[number], 0.0) == (in_flight[number] <= number + 1)
        elif in_flight[number]:
            in_flight[number] -= 1
            limit.record_closed(accounts[number])
