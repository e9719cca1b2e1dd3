"""Test of the tool that runs many copies of one test."""

from __future__ import annotations

from pathlib import Path

from tools.copies import main


def test_output_of_failed_copy_is_kept(tmp_path: Path) -> None:
    # A flaky test: it fails in the first copy and passes in all later ones.
    test = tmp_path / "test_now_and_then.py"
    test.write_text(
        "from pathlib import Path\n"
        "def test_it(tmp_path):\n"
        f"    mark = Path({str(tmp_path)!r}) / 'mark'\n"
        "    seen = mark.exists()\n"
        "    mark.touch()\n"
        "    assert seen, 'the first copy'\n"
    )
    output_folder = tmp_path / "keep"
    arguments = [
        str(test),
        "--copies",
        "3",
        "--jobs",
        "1",
        "--busy",
        "1",
        "--keep",
        str(output_folder),
    ]
    assert main(arguments) == 1
    assert [folder.name for folder in output_folder.iterdir()] == ["copy-0"]
    assert "the first copy" in (output_folder / "copy-0" / "output.txt").read_text()
