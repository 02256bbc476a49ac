"""Peer calls over gRPC."""

import asyncio
import unittest

from pondpin.controllers.peers import GrpcPeerClient
from pondpin.errors import PeerUnreachableError
from pondpin.metrics import Metrics
from pondpin.tests.support import run_async
from pondpin.wire.peer_pb2 import FetchConfigurationRequest

TIMEOUT_SECONDS = 0.05


class SilentPeerTest(unittest.TestCase):
    def test_unresponsive_connection_is_not_reused(self) -> None:
        connections: list[asyncio.StreamWriter] = []

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            connections.append(writer)

        async def work() -> None:
            server = await asyncio.start_server(accept, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            client = GrpcPeerClient(Metrics("a", "north"), lambda: None)
            for _ in range(2):
                with self.assertRaises(PeerUnreachableError):
                    await client.fetch_configuration(
                        f"{host}:{port}", FetchConfigurationRequest(), TIMEOUT_SECONDS
                    )
            client.close()
            server.close()
            for writer in connections:
                writer.close()
            self.assertEqual(len(connections), 2)

        run_async(work())


if __name__ == "__main__":
    unittest.main()
