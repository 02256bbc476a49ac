"""A UDP socket on the event loop."""

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from pondpin.network import Endpoint

LARGEST_BYTES = 65536


class DatagramPort(Protocol):
    """Sends datagrams."""

    def write(self, data: bytes, place: tuple[str, int]) -> None:
        """Send a datagram; raises OSError when it can't leave now."""
        ...

    def close(self) -> None:
        """Send no more."""
        ...


class DatagramSocket:
    """Sends and receives datagrams; a system call for each, and closed at once.

    Twisted's port asks once more for each datagram whether there is another. An instance among 195
    gets and sends some 30 datagrams a second when it is idle (`GossipFleet`).
    """

    def __init__(self, place: Endpoint, on_datagram: Callable[[bytes], None]) -> None:
        self._on_datagram = on_datagram
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        try:
            self._socket.bind((place.host, place.port))
        except OSError:
            self._socket.close()
            raise
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._socket, self._receive)

    def write(self, data: bytes, place: tuple[str, int]) -> None:
        """Send a datagram; raises OSError when it can't leave now."""
        self._socket.sendto(data, place)

    def _receive(self) -> None:
        try:
            data = self._socket.recv(LARGEST_BYTES)
        except OSError:
            # Nothing after all, or an earlier datagram was turned away: a peer that is down.
            return
        self._on_datagram(data)

    def close(self) -> None:
        """Close it."""
        self._loop.remove_reader(self._socket)
        self._socket.close()
