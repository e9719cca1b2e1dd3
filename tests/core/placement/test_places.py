"""Where prompts lie, by this instance's sends and by what others tell."""

from __future__ import annotations

from rhubarbbend.core.placement import Place, PlaceBook


def list_names(book: PlaceBook, key: str, now: float) -> list[str]:
    return [target for target, _ in book.list_targets(key, now)]


def test_the_latest_place_comes_first_and_the_one_before_is_kept() -> None:
    # The latest target crashes; the one before still holds the prompt.
    book = PlaceBook()
    book.note("chat", "a", False, 1.0)
    book.note("chat", "b", True, 2.0)
    assert list_names(book, "chat", 3.0) == ["b", "a"]
    book.note("chat", "a", False, 4.0)
    assert list_names(book, "chat", 5.0) == ["a", "b"]


def test_what_others_tell_counts_by_its_age_and_not_by_when_it_came() -> None:
    book = PlaceBook()
    book.note("chat", "a", False, 10.0)
    book.hear([Place("chat", "b", 5.0)], 11.0)
    assert list_names(book, "chat", 11.0) == ["a", "b"]
    book.hear([Place("chat", "c", 0.1)], 11.0)
    assert list_names(book, "chat", 11.0) == ["c", "a", "b"]


def test_news_are_told_once_and_hold_the_latest_word() -> None:
    told: list[int] = []
    book = PlaceBook()
    book.on_news = lambda: told.append(1)
    book.note("chat", "home", False, 0.0)
    assert book.take_news(0.0) == [] and told == []
    book.note("chat", "a", True, 1.0)
    book.note("chat", "b", True, 1.5)
    assert book.take_news(2.0) == [Place("chat", "b", 0.5)] and len(told) == 2
    assert book.take_news(2.0) == []


def test_places_end_and_an_instance_that_joins_gets_those_that_hold() -> None:
    book = PlaceBook()
    book.note("old", "a", False, 0.0)
    book.note("new", "b", False, 50.0)
    assert list_names(book, "old", 70.0) == []
    assert book.list_recent(70.0) == [Place("new", "b", 20.0)]


def test_the_book_is_bounded() -> None:
    book = PlaceBook()
    for number in range(10_000):
        book.note(f"chat-{number}", "a", False, 1.0)
    assert len(book.list_recent(1.0)) == 4_096
    assert list_names(book, "chat-0", 1.0) == []
