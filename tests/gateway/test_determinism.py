"""What an instance does next must not depend on the addresses of its objects in memory."""

from __future__ import annotations

import asyncio

import pytest

from adapter import PlatformRowStore
from rhubarbbend.http import Connection, Exchange, HttpServer
from rhubarbbend.storage import StoreError

CALLS = 40


@pytest.mark.parametrize("padding", [0, 7, 64])
def test_cancelled_store_calls_end_in_the_order_in_which_they_began(padding: int) -> None:
    """The store's connections are reset, and each caller draws its backoff as its call ends.

    The calls were kept in a set of tasks, whose order is that of their addresses: the same events
    gave other backoffs from run to run, and a day of a simulation that repeats did not.
    """

    async def run() -> None:
        server = await asyncio.start_server(lambda reader, writer: reader.read(), "127.0.0.1", 0)
        store = PlatformRowStore(server.sockets[0].getsockname())
        ended: list[int] = []
        kept: list[bytearray] = []

        async def call(number: int) -> None:
            try:
                await store.read_table("op")
            except StoreError:
                ended.append(number)

        tasks = []
        for number in range(CALLS):
            tasks.append(asyncio.create_task(call(number)))
            kept.append(bytearray(padding * number))
        await asyncio.sleep(0.1)
        store.close_connections()
        await asyncio.gather(*tasks)
        assert ended == list(range(CALLS))
        server.close()

    asyncio.run(asyncio.wait_for(run(), 10.0))


def test_idle_connections_are_closed_in_the_order_in_which_they_were_opened() -> None:
    """A stopping instance closes its idle connections; their callers then connect elsewhere."""

    async def serve(exchange: Exchange) -> None:
        exchange.respond(200, [], b"")

    async def run() -> None:
        server = HttpServer(serve)
        address = ("127.0.0.1", await server.listen("127.0.0.1", 0))
        connections = [await Connection.open(address) for _ in range(CALLS)]
        await asyncio.sleep(0.1)
        ended: list[int] = []
        for task in asyncio.all_tasks():
            if "_accept" in repr(task.get_coro()):
                # asyncio numbers tasks in the order in which they are created.
                number = int(task.get_name().partition("-")[2])
                task.add_done_callback(lambda _, number=number: ended.append(number))
        server.stop_accepting()
        await asyncio.sleep(1.0)
        assert len(ended) == CALLS
        assert ended == sorted(ended)
        for connection in connections:
            connection.close()

    asyncio.run(asyncio.wait_for(run(), 10.0))
