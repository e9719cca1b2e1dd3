"""Copies of a test: those that fail are found and keep their output."""

from __future__ import annotations

from pathlib import Path

from tools.copies import main


def test_a_copy_that_fails_keeps_its_output(tmp_path: Path) -> None:
    # The test fails in the first folder that it is run in, as one that fails now and then does.
    test = tmp_path / "test_now_and_then.py"
    test.write_text(
        "from pathlib import Path\n"
        "def test_it(tmp_path):\n"
        f"    mark = Path({str(tmp_path)!r}) / 'mark'\n"
        "    seen = mark.exists()\n"
        "    mark.touch()\n"
        "    assert seen, 'the first copy'\n"
    )
    keep = tmp_path / "keep"
    words = [str(test), "--copies", "3", "--jobs", "1", "--busy", "1", "--keep", str(keep)]
    assert main(words) == 1
    assert [folder.name for folder in keep.iterdir()] == ["copy-0"]
    assert "the first copy" in (keep / "copy-0" / "output.txt").read_text()
