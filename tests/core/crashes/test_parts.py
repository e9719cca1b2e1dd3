"""Tests of the judgement on parts of prompts under which targets were lost."""

from __future__ import annotations

from rhubarbbend.core.crashes import Content, CrashLedger, Judgement, RefusalRules
from rhubarbbend.core.crashes._ledger import MAX_CAUSES

FIRST_REFUSAL_S = 30.0


class Requests:
    """Requests of which no two are equal, and the targets that are lost under them."""

    def __init__(self, rules: RefusalRules | None = None) -> None:
        self.ledger = CrashLedger(rules)
        self._count = 0

    def make(self, *parts: str, account: str = "desk") -> Content:
        self._count += 1
        return Content(f"digest-{self._count}", tuple(f"llm/{part}" for part in parts), account)

    def lose(
        self, target: str, sent_at: float, *parts: str, account: str = "desk", ends: bool = True
    ) -> None:
        """Send a request with these parts, and lose its target 0.1 s later."""
        content = self.make(*parts, account=account)
        loss = self.ledger.make_loss(content, target, sent_at, sent_at + 0.1)
        self.ledger.record_request_loss(content.digest, content.parts, loss)
        if ends:
            self.ledger.record_end(target)

    def judge(self, now: float, *parts: str, account: str = "desk") -> Judgement:
        return self.ledger.judge_content(self.make(*parts, account=account), now)


# Guards against crashes that each look like the first one, since no two requests are equal.
def test_a_part_is_refused_after_two_crashes() -> None:
    requests = Requests()
    requests.lose("t-1", 0.0, "first", "bad")
    assert requests.judge(0.2, "first", "bad") is Judgement.SUSPECT
    requests.ledger.record_completion("llm/first", 0.5)
    requests.lose("t-2", 1.0, "first", "bad", "deep")
    assert requests.judge(1.2, "first", "bad", "other") is Judgement.REFUSED
    assert requests.judge(1.2, "bad") is Judgement.REFUSED
    assert requests.judge(1.2, "first", "good") is Judgement.SUSPECT


# Guards against refusing a first part that all requests of a route hold, before any has completed.
def test_a_part_that_was_always_with_the_cause_is_not_refused() -> None:
    requests = Requests()
    requests.lose("t-1", 0.0, "first", "bad")
    requests.lose("t-2", 0.2, "first", "bad")
    assert requests.judge(0.4, "first", "bad") is Judgement.REFUSED
    assert requests.judge(0.4, "first", "good") is Judgement.ON_TRIAL
    requests.ledger.record_completion("llm/first", 0.5)
    assert requests.judge(0.6, "first", "good") is Judgement.CLEAR
    assert requests.judge(0.6, "first", "bad") is Judgement.REFUSED


# Guards against refusing a chat that was beside each crash, in another request.
def test_the_next_crash_tells_a_part_from_another_that_was_beside_it() -> None:
    requests = Requests()
    for start, target in ((0.0, "t-1"), (0.2, "t-2")):
        requests.lose(target, start, "bad")
        requests.lose(target, start, "chat")
    assert requests.judge(0.4, "bad") is requests.judge(0.4, "chat") is Judgement.ON_TRIAL
    requests.lose("t-3", 0.5, "bad")
    assert requests.judge(0.7, "bad") is Judgement.REFUSED
    assert requests.judge(0.7, "chat") is Judgement.ON_TRIAL


def test_two_parts_that_crash_targets_at_the_same_time_are_both_found() -> None:
    requests = Requests()
    for start, target in ((0.0, "t-1"), (0.2, "t-2")):
        requests.lose(target, start, "bad-1")
        requests.lose(target, start, "bad-2")
    requests.lose("t-3", 0.5, "bad-1")
    assert requests.judge(0.7, "bad-1") is Judgement.REFUSED
    requests.lose("t-4", 1.5, "bad-2")
    assert requests.judge(2.0, "bad-2") is Judgement.ON_TRIAL
    requests.lose("t-5", 2.5, "bad-2")
    assert requests.judge(3.0, "bad-1") is requests.judge(3.0, "bad-2") is Judgement.REFUSED


# Guards against refusing a popular part whose requests were at many targets that lost power.
def test_targets_that_end_together_count_once_for_a_part() -> None:
    requests = Requests()
    for number in range(6):
        requests.lose(f"t-{number}", 0.01 * number, "popular")
    assert requests.judge(0.3, "popular") is not Judgement.REFUSED


# Guards against sound requests that are refused since they were lost beside the part twice.
def test_equal_requests_beside_two_crashes_of_a_part_are_not_refused() -> None:
    requests = Requests()
    beside = Content("beside", (), "desk")
    for start, target in ((0.0, "t-1"), (1.0, "t-2")):
        requests.lose(target, start, "bad")
        loss = requests.ledger.make_loss(beside, target, start, start + 0.1)
        requests.ledger.record_request_loss("beside", (), loss)
    assert requests.ledger.judge_content(beside, 1.2) is Judgement.ON_TRIAL


# Guards against a completion that was under way when the part was lost elsewhere.
def test_only_what_began_after_a_loss_takes_it_back() -> None:
    requests = Requests()
    requests.lose("t-1", 1.0, "bad")
    assert not requests.ledger.record_completion("llm/bad", 0.9)
    requests.lose("t-2", 2.0, "bad")
    assert requests.judge(2.2, "bad") is Judgement.REFUSED


# Guards against one account that has the requests of others refused by naming their parts.
def test_crashes_of_one_account_do_not_refuse_the_part_for_others() -> None:
    requests = Requests()
    requests.lose("t-1", 0.0, "named", account="rival")
    requests.lose("t-2", 1.0, "named", account="rival")
    assert requests.judge(1.2, "named", account="rival") is Judgement.REFUSED
    assert requests.judge(1.2, "named", account="desk") is Judgement.SUSPECT
    requests.lose("t-3", 2.0, "named", account="desk")
    assert requests.judge(2.2, "named", account="a third") is Judgement.REFUSED


# Guards against requests of two accounts at one crash, of which only the first report counted.
def test_accounts_and_times_of_requests_at_one_crash_are_merged() -> None:
    requests = Requests()
    requests.lose("t-1", 0.0, "named", account="rival")
    requests.lose("t-1", 0.05, "named", account="desk")
    requests.lose("t-2", 1.0, "named", account="rival")
    assert requests.judge(1.2, "named", account="a third") is Judgement.REFUSED


# Guards against trials of all instances at once when a first refusal ends.
def test_instances_try_a_part_again_at_different_times_and_one_at_a_time() -> None:
    for stagger_s in (0.0, 7.0):
        requests = Requests(RefusalRules(stagger_s=stagger_s))
        requests.lose("t-1", 0.0, "bad")
        requests.lose("t-2", 1.0, "bad")
        end = 1.1 + FIRST_REFUSAL_S + stagger_s
        assert requests.judge(end - 0.1, "bad") is Judgement.REFUSED
        assert requests.judge(end + 0.1, "bad") is Judgement.ON_TRIAL
        requests.lose("t-3", end + 0.2, "bad")
        assert requests.judge(end + 500.0, "bad") is Judgement.REFUSED


def test_the_same_part_in_another_service_is_another_cause() -> None:
    requests = Requests()
    requests.lose("t-1", 0.0, "bad")
    requests.lose("t-2", 1.0, "bad")
    other = Content("other", ("small-llm/bad",), "desk")
    assert requests.ledger.judge_content(other, 1.2) is Judgement.CLEAR


# Guards against prompts of very many parts that push out a part that crashes targets.
def test_what_has_crashed_several_targets_is_kept_longest() -> None:
    requests = Requests()
    requests.lose("t-1", 0.0, "bad")
    requests.lose("t-2", 1.0, "bad")
    for number in range(3):
        requests.lose(f"t-{3 + number}", 2.0, *(f"{number}-{n}" for n in range(MAX_CAUSES // 2)))
    assert len(requests.ledger.list_losses(3.0)) <= MAX_CAUSES + 1
    assert requests.judge(3.0, "bad") is Judgement.REFUSED


def test_a_request_without_suspect_parts_is_clear() -> None:
    requests = Requests()
    assert requests.ledger.is_empty
    assert requests.judge(0.0, "any") is Judgement.CLEAR
    requests.lose("t-1", 0.0, "bad")
    assert requests.judge(0.2, "any") is Judgement.CLEAR
