"""Defines the command line with argparse and parses it into one typed object."""

from __future__ import annotations

import argparse
from collections.abc import Sequence
from pathlib import Path

import attrs

from rhubarbbend import VERSION


@attrs.define(slots=True)
class Options:
    """The options of all commands; those of commands that are not run keep their defaults.

    The field names are the destinations that the parser derives from the option names.
    """

    # Name of the command to run.
    command: str = ""
    # Path of an instance's settings file (serve, check-settings).
    settings: Path | None = None
    # Address of an instance's operator port as host:port (apply, show, zone, target).
    instance: str = ""
    # Path of a file that holds the operators' secret, or the fleet's secret if the fleet has no
    # separate one for operators.
    secret_file: str = ""
    # Name of an environment variable that holds that secret instead.
    secret_env: str = ""
    # Path of a declaration file or a folder of them (apply), or of a trace (replay).
    path: Path | None = None
    # Send the change without asking for confirmation (apply).
    yes: bool = False
    # Author of the change, shown to operators whose conflicting change is rejected (apply, zone,
    # target).
    author: str = ""
    # Id of the change. Sending an accepted id again returns the version it was accepted as.
    change_id: str = ""
    # Seconds to wait until an accepted change is in force at every instance; 0 does not wait.
    wait: float = 5.0
    # What to show: config, zones, targets or instances (show).
    what: str = ""
    # Print JSON instead of a table (show).
    json: bool = False
    # Id of a request, and paths of the logs to search for it (explain).
    request: str = ""
    logs: list[Path] = attrs.Factory(list)
    # "in" to put into service, "out" to take out of service (zone, target).
    direction: str = ""
    # Name of the zone or target (zone, target).
    name: str = ""


def _add_operator_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--instance", required=True, help="operator address host:port")
    secret = parser.add_mutually_exclusive_group(required=True)
    secret.add_argument("--secret-file", default="", help="file that holds the operators' secret")
    secret.add_argument("--secret-env", default="", help="environment variable that holds it")


def _add_change_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--author", default="", help="who makes the change (default: $USER)")
    parser.add_argument("--change-id", default="", help="id of the change, to retry it")
    parser.add_argument(
        "--wait",
        type=float,
        default=5.0,
        metavar="SECONDS",
        help="how long to wait until it is in force at every instance (default: 5; 0: do not wait)",
    )


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
    parser = argparse.ArgumentParser(
        prog="rhubarbbend", description="A router fleet for returning chats."
    )
    parser.add_argument("--version", action="version", version=f"rhubarbbend {VERSION}")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")

    serve = commands.add_parser("serve", help="run one instance of the fleet")
    serve.add_argument("--settings", type=Path, required=True, help="settings file (TOML)")

    check = commands.add_parser(
        "check-settings", help="check a settings file and print every error"
    )
    check.add_argument("settings", type=Path)

    replay = commands.add_parser("replay", help="replay a recorded trace and compare the actions")
    replay.add_argument(
        "path",
        type=Path,
        metavar="FILE",
        help="trace file, recorded as set in [record] of the settings",
    )

    explain = commands.add_parser("explain", help="show what happened to a request, from logs")
    explain.add_argument("request", metavar="ID", help="the request's id")
    explain.add_argument("logs", type=Path, nargs="+", metavar="LOG", help="logs of instances")

    apply = commands.add_parser("apply", help="show what declarations change and send the change")
    apply.add_argument("path", type=Path, help="declaration file, or folder of *.toml")
    apply.add_argument("--yes", action="store_true", help="send without asking for confirmation")
    _add_operator_options(apply)
    _add_change_options(apply)

    show = commands.add_parser("show", help="show what an instance knows")
    show.add_argument("what", choices=("config", "zones", "targets", "instances"))
    show.add_argument("--json", action="store_true", help="print JSON")
    _add_operator_options(show)

    for name in ("zone", "target"):
        move = commands.add_parser(name, help=f"take a {name} in or out of service")
        move.add_argument("direction", choices=("in", "out"))
        move.add_argument("name")
        _add_operator_options(move)
        _add_change_options(move)
    return parser


def parse_options(arguments: Sequence[str]) -> Options:
    """Parse the arguments; prints usage and exits with status 2 if they are invalid."""
    options = Options()
    make_parser().parse_args(arguments, namespace=options)
    return options
