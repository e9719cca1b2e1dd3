"""The operators' commands: apply, show, zone and target.

Each command connects to the operator port of one instance. Changes are sent with a change id, so
that one whose outcome is unknown can be retried without being applied twice.
"""

from __future__ import annotations

import os
import sys
import time
import uuid
from typing import Any, Final

import msgspec
from thriftpy2.thrift import TException
from thriftpy2.transport import TTransportException

from rhubarbbend.cli._declarations import check_differences, find_differences, read_declarations
from rhubarbbend.cli._exit_status import ExitStatus
from rhubarbbend.cli._options import Options
from rhubarbbend.core.configuration import TargetState, Zone
from rhubarbbend.decoding import decode_json
from rhubarbbend.operators import SCHEMA, OperatorClient, derive_operator_key
from rhubarbbend.settings import SecretSettings, parse_address, read_secret

POLL_INTERVAL_S: Final = 0.2
# Kind, name and encoded value of each item of a change; an empty value removes the item.
Items = list[tuple[str, str, bytes]]


class ChangeOutcomeUnknown(Exception):
    """A change was sent, but whether it was accepted is unknown."""

    def __init__(self, change_id: str, reason: str) -> None:
        super().__init__(reason)
        self.change_id = change_id


def _connect(options: Options) -> OperatorClient:
    secret = read_secret(SecretSettings(options.secret_file, options.secret_env))
    return OperatorClient(parse_address(options.instance), derive_operator_key(secret))


def describe_error(error: BaseException) -> str:
    """Return the reason of an error raised by the operator schema or by the connection."""
    reason = getattr(error, "reason", None) or getattr(error, "problem", None)
    return str(reason or getattr(error, "message", None) or error)


def apply(options: Options) -> int:
    """Print what declaration files change and send the change, unless the operator declines it."""
    assert options.path is not None
    declared = read_declarations(options.path)
    with _connect(options) as client:
        view = client.show("config")
        current = {(d.kind, d.name): _as_bytes(d.value) for d in view.declarations}
        differences = find_differences(current, declared)
        if not differences:
            print(f"nothing to change; version {view.version} is in force")
            return ExitStatus.DONE
        problems = check_differences(current, differences)
        for problem in problems:
            print(f"rhubarbbend: {options.path}: {problem}", file=sys.stderr)
        if problems:
            return ExitStatus.USAGE
        for entry in differences:
            print(f"{entry.sign} {entry.kind} {entry.name} {entry.detail}".rstrip())
        if not options.yes and not _confirm(len(differences)):
            return ExitStatus.DECLINED
        items = [(entry.kind, entry.name, entry.value) for entry in differences]
        return _send_change(client, options, view.version, items)


def _confirm(count: int) -> bool:
    if not sys.stdin.isatty():
        print(f"{count} differences; send them with --yes", file=sys.stderr)
        return False
    return input(f"send {count} differences? [y/N] ").strip().lower() == "y"


def _send_change(client: OperatorClient, options: Options, version: int, items: Items) -> int:
    change_id = options.change_id or uuid.uuid4().hex
    author = options.author or os.environ.get("USER", "") or "unknown"
    try:
        accepted = client.apply_change(change_id, author, version, items)
    except SCHEMA.OutcomeUnknown as unknown:
        raise ChangeOutcomeUnknown(change_id, "the platform's table did not answer") from unknown
    except (TTransportException, OSError) as error:
        # The instance may have written the change to the table before the connection was lost.
        raise ChangeOutcomeUnknown(change_id, describe_error(error)) from error
    print(f"accepted as version {accepted} (change id {change_id})")
    _report_rollout(client, accepted, options.wait)
    return ExitStatus.DONE


def _report_rollout(client: OperatorClient, version: int, wait: float) -> None:
    """Wait until the accepted change is in force at every instance, and print where it is not.

    Instances in an unreachable zone keep using their current version. An operator who took a zone
    out of service has to know which instances may still send requests to it.
    """
    if wait <= 0:
        return
    deadline = time.monotonic() + wait
    while True:
        try:
            views = [view for view in client.show("instances") if not view.leaving]
        except (TException, OSError) as error:
            print(
                f"cannot determine where it is in force: {describe_error(error)}", file=sys.stderr
            )
            return
        outdated = [view for view in views if view.config_version < version]
        if not outdated:
            print(f"in force at all {len(views)} instances")
            return
        if time.monotonic() >= deadline:
            break
        time.sleep(POLL_INTERVAL_S)
    print(f"in force at {len(views) - len(outdated)} of {len(views)} instances; NOT at:")
    for view in outdated:
        state = f"at version {view.config_version}, heard {view.heard_age:.0f} s ago"
        if view.heard_age < 0:
            state = "nothing heard of it"
        print(f"  {view.id} in {view.zone}: {state}")


def set_in_service(options: Options) -> int:
    """Put a zone or target into service or take it out of service."""
    in_service = options.direction == "in"
    kind = options.command
    declared: Zone | TargetState = (
        Zone(options.name, in_service) if kind == "zone" else TargetState(options.name, in_service)
    )
    with _connect(options) as client:
        version = client.show("config").version
        service_states = _list_service_states(client, kind)
        if options.name not in service_states:
            print(f"rhubarbbend: no {kind} {options.name!r} is known", file=sys.stderr)
            return ExitStatus.FAILED
        if service_states[options.name] == in_service:
            print(f"{kind} {options.name} is {_describe_service_state(in_service)} already")
            return ExitStatus.DONE
        item = (kind, options.name, msgspec.json.encode(declared))
        return _send_change(client, options, version, [item])


def _describe_service_state(in_service: bool) -> str:
    return "in service" if in_service else "out of service"


def _list_service_states(client: OperatorClient, kind: str) -> dict[str, bool]:
    """Return whether each zone or target is itself declared in service, by name.

    Whether a target gets requests also depends on its zone. If this returned that combined state,
    `target out` would do nothing while the zone is out of service, and the target would get
    requests again as soon as the zone is back.
    """
    if kind == "zone":
        return {view.name: view.in_service for view in client.show("zones")}
    return {view.id: view.declared_in for view in client.show("targets")}


def show(options: Options) -> int:
    """Print the configuration, zones, targets or instances that an instance knows."""
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
                "value": decode_json(_as_bytes(d.value)),
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
