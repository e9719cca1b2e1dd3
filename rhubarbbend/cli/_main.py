"""Runs the command that the options name and gives its exit status."""

from __future__ import annotations

import enum
import os
import sys
import uuid
from collections.abc import Callable, Sequence
from typing import Any

import msgspec
from thriftpy2.thrift import TException
from thriftpy2.transport import TTransportException

from rhubarbbend.cli._declarations import find_differences, read_declarations
from rhubarbbend.cli._options import Options, parse_options
from rhubarbbend.core.configuration import TargetState, Zone
from rhubarbbend.operators import SCHEMA, OperatorClient, make_operator_key
from rhubarbbend.settings import (
    SecretSettings,
    SettingsInvalid,
    load_settings,
    parse_address,
    read_secret,
)
from rhubarbbend.shell import serve
from rhubarbbend.trace import TraceInvalid, replay_trace


class ExitStatus(enum.IntEnum):
    """Exit statuses of every command."""

    DONE = 0
    FAILED = 1  # The fleet refused, or could not be reached; a replay differs.
    USAGE = 2  # Options, settings or declarations are wrong.
    CONFLICT = 3  # Another operator's change came first.
    UNKNOWN = 4  # No word whether the change was accepted: send the same change id again.
    DECLINED = 5  # The difference was shown and not sent.


def main(arguments: Sequence[str]) -> int:
    """Run one command."""
    options = parse_options(arguments)
    commands: dict[str, Callable[[Options], int]] = {
        "serve": _serve,
        "check-settings": _check_settings,
        "replay": _replay,
        "apply": _apply,
        "show": _show,
        "zone": _move,
        "target": _move,
    }
    try:
        return commands[options.command](options)
    except SettingsInvalid as invalid:
        print(invalid, file=sys.stderr)
        return ExitStatus.USAGE
    except (ValueError, TraceInvalid) as error:
        print(f"rhubarbbend: {error}", file=sys.stderr)
        return ExitStatus.USAGE
    except SCHEMA.Conflict as conflict:
        print(
            f"rhubarbbend: version {conflict.version} was taken by {conflict.author}; "
            "look at the difference again",
            file=sys.stderr,
        )
        return ExitStatus.CONFLICT
    except SCHEMA.OutcomeUnknown as unknown:
        print(
            "rhubarbbend: no word whether the change was accepted; send it again with "
            f"--change-id {unknown.change_id}",
            file=sys.stderr,
        )
        return ExitStatus.UNKNOWN
    except (TException, TTransportException, OSError) as error:
        reason = getattr(error, "reason", None) or getattr(error, "problem", None) or error
        print(f"rhubarbbend: {reason}", file=sys.stderr)
        return ExitStatus.FAILED


def _serve(options: Options) -> int:
    assert options.settings is not None
    settings, secret = load_settings(options.settings)
    return serve(settings, secret)


def _check_settings(options: Options) -> int:
    assert options.settings is not None
    load_settings(options.settings)
    print(f"{options.settings}: settings are valid")
    return ExitStatus.DONE


def _replay(options: Options) -> int:
    assert options.path is not None
    report = replay_trace(options.path)
    if report.difference is not None:
        print(f"{options.path}: the actions differ\n{report.difference}")
        return ExitStatus.FAILED
    cut = "; the last line is cut and was left out" if report.cut else ""
    print(f"{options.path}: {report.events} events, {report.actions} actions, all the same{cut}")
    return ExitStatus.DONE


def _connect(options: Options) -> OperatorClient:
    secret = read_secret(SecretSettings(options.secret_file, options.secret_env))
    return OperatorClient(parse_address(options.instance), make_operator_key(secret))


def _read_author(options: Options) -> str:
    return options.author or os.environ.get("USER", "") or "unknown"


def _apply(options: Options) -> int:
    assert options.path is not None
    declared = read_declarations(options.path)
    with _connect(options) as client:
        view = client.show("config")
        current = {(d.kind, d.name): _as_bytes(d.value) for d in view.declarations}
        differences = find_differences(current, declared)
        for entry in differences:
            print(f"{entry.sign} {entry.kind} {entry.name} {entry.detail}".rstrip())
        if not differences:
            print(f"nothing to change; version {view.version} is in force")
            return ExitStatus.DONE
        if not options.yes and not _confirm(len(differences)):
            return ExitStatus.DECLINED
        items = [(entry.kind, entry.name, entry.value) for entry in differences]
        return _send_change(client, options, view.version, items)


def _confirm(count: int) -> bool:
    if not sys.stdin.isatty():
        print(f"{count} differences; send them with --yes", file=sys.stderr)
        return False
    return input(f"send {count} differences? [y/N] ").strip().lower() == "y"


def _send_change(
    client: OperatorClient, options: Options, version: int, items: list[tuple[str, str, bytes]]
) -> int:
    change_id = options.change_id or uuid.uuid4().hex
    accepted = client.apply_change(change_id, _read_author(options), version, items)
    print(f"accepted as version {accepted} (change id {change_id})")
    return ExitStatus.DONE


def _move(options: Options) -> int:
    in_service = options.direction == "in"
    kind = options.command
    declared: Zone | TargetState = (
        Zone(options.name, in_service) if kind == "zone" else TargetState(options.name, in_service)
    )
    with _connect(options) as client:
        shown = client.show("zones" if kind == "zone" else "targets")
        known = {view.name if kind == "zone" else view.id: view.in_service for view in shown}
        if options.name not in known:
            print(f"rhubarbbend: no {kind} {options.name!r} is known", file=sys.stderr)
            return ExitStatus.FAILED
        if known[options.name] == in_service:
            print(f"{kind} {options.name} is {options.direction} of service already")
            return ExitStatus.DONE
        version = client.show("config").version
        item = (kind, options.name, msgspec.json.encode(declared))
        return _send_change(client, options, version, [item])


def _show(options: Options) -> int:
    with _connect(options) as client:
        shown = client.show(options.what)
    rows = _list_rows(options.what, shown)
    if options.json:
        print(msgspec.json.format(msgspec.json.encode(rows), indent=2).decode())
        return ExitStatus.DONE
    if options.what == "config":
        print(f"version {shown.version}")
    _print_table(rows)
    return ExitStatus.DONE


def _list_rows(what: str, shown: Any) -> list[dict[str, Any]]:
    if what == "config":
        return [
            {
                "kind": d.kind,
                "name": d.name,
                "version": shown.version,
                "value": msgspec.json.decode(_as_bytes(d.value)),
            }
            for d in shown.declarations
        ]
    return [dict(vars(view)) for view in shown]


def _print_table(rows: list[dict[str, Any]]) -> None:
    if not rows:
        print("(none)")
        return
    names = list(rows[0])
    table = [names, *([str(row[name]) for name in names] for row in rows)]
    widths = [max(len(line[i]) for line in table) for i in range(len(names))]
    for line in table:
        print("  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)))


def _as_bytes(value: Any) -> bytes:
    return value if isinstance(value, bytes) else str(value or "").encode()
