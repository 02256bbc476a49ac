"""Calls between instances over gRPC."""

import asyncio
import unittest

from pondpin.controllers.peers import GrpcPeerClient
from pondpin.errors import PeerUnreachableError
from pondpin.metrics import Metrics
from pondpin.tests.support import run_async
from pondpin.wire.peer_pb2 import FetchConfigurationRequest

PATIENCE_SECONDS = 0.05


class SilentPeerTest(unittest.TestCase):
    def test_a_connection_that_fell_silent_is_not_used_again(self) -> None:
        connections: list[asyncio.StreamWriter] = []

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            connections.append(writer)

        async def work() -> None:
            server = await asyncio.start_server(accept, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            peers = GrpcPeerClient(Metrics("a", "north"), lambda: None)
            for _ in range(2):
                with self.assertRaises(PeerUnreachableError):
                    await peers.fetch_configuration(
                        f"{host}:{port}", FetchConfigurationRequest(), PATIENCE_SECONDS
                    )
            peers.close()
            server.close()
            for writer in connections:
                writer.close()
            self.assertEqual(len(connections), 2)

        run_async(work())


if __name__ == "__main__":
    unittest.main()
