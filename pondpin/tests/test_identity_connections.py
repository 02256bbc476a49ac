"""Checks of identity over real connections."""

import asyncio
import contextlib
import unittest

from pondpin.http_client import HttpClient
from pondpin.platform.reports import PlatformLiveness
from pondpin.tests.support import run_async, the_loop

ANSWER = b"HTTP/1.1 200 OK\r\nx-instance-id: i-1\r\ncontent-length: 0\r\n\r\n"


class IdentityConnectionTest(unittest.TestCase):
    def test_identity_is_not_asked_over_an_idle_connection(self) -> None:
        async def work() -> None:
            accepted = 0

            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                nonlocal accepted
                accepted += 1
                with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                    while True:
                        await reader.readuntil(b"\r\n\r\n")
                        writer.write(ANSWER)
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port: int = server.sockets[0].getsockname()[1]
            client = HttpClient(the_loop()[1], 1.0)
            liveness = PlatformLiveness(client)
            place = ("127.0.0.1", port, "/healthz")
            try:
                await liveness.is_healthy(*place, 5.0, lambda head: None)
                await liveness.is_healthy(*place, 5.0, lambda head: None)
                self.assertEqual(accepted, 1)
                found = await liveness.identify(*place, "i-1", lambda head: None)
                self.assertEqual((found, accepted), ("i-1", 2))
            finally:
                await client.close()
                server.close()

        run_async(work())


if __name__ == "__main__":
    unittest.main()
