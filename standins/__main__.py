"""Command line: starts the stand-in that the arguments name and runs it until SIGTERM or SIGINT."""

from __future__ import annotations

import argparse
import asyncio
import signal

from standins import _engine, _plain_service, _platform, _proxy, _table_store, _worker
from standins._server import StandIn


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="standins")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--host", default="127.0.0.1")
    subparsers = parser.add_subparsers(dest="kind", required=True)
    platform = subparsers.add_parser("platform")
    platform.add_argument(
        "--lag", type=float, default=0.5, help="seconds by which the instance list lags behind"
    )
    _engine.add_options(subparsers.add_parser("engine"))
    _plain_service.add_options(subparsers.add_parser("plain"))
    subparsers.add_parser("proxy")
    subparsers.add_parser("tables")
    _worker.add_options(subparsers.add_parser("worker"))
    return parser


def _make_stand_in(options: argparse.Namespace) -> StandIn | _worker.Worker:
    if options.kind == "platform":
        return _platform.Platform(options.lag)
    if options.kind == "engine":
        return _engine.make_engine(options)
    if options.kind == "plain":
        return _plain_service.make_service(options)
    if options.kind == "tables":
        return _table_store.TableStore()
    if options.kind == "worker":
        return _worker.make_worker(options)
    return _proxy.Proxy(options.host)


async def _run(options: argparse.Namespace) -> None:
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
    stand_in = _make_stand_in(options)
    port = await stand_in.listen(options.host, options.port)
    print(f"ready {options.host} {port}", flush=True)
    await stop.wait()


if __name__ == "__main__":
    asyncio.run(_run(_make_parser().parse_args()))
