"""Parses the command line into one typed options object."""

from __future__ import annotations

import argparse
from collections.abc import Sequence
from pathlib import Path

import attrs

from rhubarbbend import VERSION


@attrs.define(slots=True)
class Options:
    """Every option of every command; those of other commands keep their defaults."""

    # The command to run.
    command: str = ""
    # Settings file of an instance (serve, check-settings).
    settings: Path | None = None
    # Operator address of an instance, host:port (apply, show, zone, target).
    instance: str = ""
    # File that holds the operators' secret, or the fleet's where operators have none of their own.
    secret_file: str = ""
    # Environment variable that holds it instead.
    secret_env: str = ""
    # A declaration file, or a folder of them (apply); a trace (replay).
    path: Path | None = None
    # Send the change without asking (apply).
    yes: bool = False
    # Who makes the change, as others are told who lose a race (apply, zone, target).
    author: str = ""
    # Id of the change set; given again it answers with the version already accepted.
    change_id: str = ""
    # Seconds to wait until an accepted change is in force everywhere; 0 does not look.
    wait: float = 5.0
    # What to show: config, zones, targets or instances.
    what: str = ""
    # Print JSON in place of a table (show).
    json: bool = False
    # Id of a request, and the logs to look through (explain).
    request: str = ""
    logs: list[Path] = attrs.Factory(list)
    # "in" or "out" (zone, target).
    direction: str = ""
    # Name of the zone or target.
    name: str = ""


def _add_operator_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--instance", required=True, help="operator address host:port")
    secret = parser.add_mutually_exclusive_group(required=True)
    secret.add_argument("--secret-file", default="", help="file that holds the operators' secret")
    secret.add_argument("--secret-env", default="", help="environment variable that holds it")


def _add_change_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--author", default="", help="who makes the change (default: $USER)")
    parser.add_argument("--change-id", default="", help="id of the change set, to send it again")
    parser.add_argument(
        "--wait",
        type=float,
        default=5.0,
        metavar="SECONDS",
        help="how long to watch until it is in force everywhere (default: 5; 0: not at all)",
    )


def make_parser() -> argparse.ArgumentParser:
    """Make the parser of the whole command line."""
    parser = argparse.ArgumentParser(
        prog="rhubarbbend", description="A router fleet for returning chats."
    )
    parser.add_argument("--version", action="version", version=f"rhubarbbend {VERSION}")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")

    serve = commands.add_parser("serve", help="run one instance of the fleet")
    serve.add_argument("--settings", type=Path, required=True, help="settings file (TOML)")

    check = commands.add_parser("check-settings", help="check a settings file, print every error")
    check.add_argument("settings", type=Path)

    replay = commands.add_parser("replay", help="replay a recorded trace, compare the actions")
    replay.add_argument("path", type=Path, metavar="FILE", help="file of the [record] settings")

    explain = commands.add_parser("explain", help="tell what became of a request, from logs")
    explain.add_argument("request", metavar="ID", help="the request's id")
    explain.add_argument("logs", type=Path, nargs="+", metavar="LOG", help="logs of instances")

    apply = commands.add_parser("apply", help="show what declarations change, and send it")
    apply.add_argument("path", type=Path, help="declaration file, or folder of *.toml")
    apply.add_argument("--yes", action="store_true", help="send without asking")
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
    """Parse arguments; prints usage and exits with status 2 if they are wrong."""
    options = Options()
    make_parser().parse_args(arguments, namespace=options)
    return options
