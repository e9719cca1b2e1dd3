"""Runs the command given on the command line and maps errors to messages and exit statuses."""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence

from thriftpy2.thrift import TException

from rhubarbbend.cli._exit_status import ExitStatus
from rhubarbbend.cli._explain import explain_request, read_logs
from rhubarbbend.cli._operator_commands import (
    ChangeOutcomeUnknown,
    apply,
    describe_error,
    set_in_service,
    show,
)
from rhubarbbend.cli._options import Options, parse_options
from rhubarbbend.operators import SCHEMA
from rhubarbbend.settings import SettingsInvalid, load_settings
from rhubarbbend.trace import TraceInvalid, replay_trace


def main(arguments: Sequence[str]) -> int:
    """Run the command that the arguments name and return its exit status."""
    options = parse_options(arguments)
    commands: dict[str, Callable[[Options], int]] = {
        "serve": _serve,
        "check-settings": _check_settings,
        "replay": _replay,
        "explain": _explain,
        "apply": apply,
        "show": show,
        "zone": set_in_service,
        "target": set_in_service,
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
            "review the difference and try again",
            file=sys.stderr,
        )
        return ExitStatus.CONFLICT
    except ChangeOutcomeUnknown as unknown:
        print(
            f"rhubarbbend: it is unknown whether the change was accepted ({unknown}); send it "
            f"again with --change-id {unknown.change_id}",
            file=sys.stderr,
        )
        return ExitStatus.UNKNOWN
    except (TException, OSError) as error:
        print(f"rhubarbbend: {describe_error(error)}", file=sys.stderr)
        return ExitStatus.FAILED


def _serve(options: Options) -> int:
    assert options.settings is not None
    # The other commands start without what only an instance needs.
    from rhubarbbend.shell import serve

    settings, secret = load_settings(options.settings)
    return serve(settings, secret)


def _check_settings(options: Options) -> int:
    assert options.settings is not None
    load_settings(options.settings)
    print(f"{options.settings}: settings are valid")
    return ExitStatus.DONE


def _explain(options: Options) -> int:
    timeline = explain_request(options.request, read_logs(options.logs))
    if not timeline:
        print(f"rhubarbbend: no line about {options.request}", file=sys.stderr)
        return ExitStatus.FAILED
    print("\n".join(timeline))
    return ExitStatus.DONE


def _replay(options: Options) -> int:
    assert options.path is not None
    report = replay_trace(options.path)
    if report.difference is not None:
        print(f"{options.path}: the actions differ\n{report.difference}")
        return ExitStatus.FAILED
    truncated = "; the last line is cut and was left out" if report.truncated else ""
    print(
        f"{options.path}: {report.events} events, {report.actions} actions, all the same{truncated}"
    )
    return ExitStatus.DONE
