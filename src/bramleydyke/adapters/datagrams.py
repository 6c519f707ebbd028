"""UDP port of a node."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import DatagramProtocol

from bramleydyke.adapters.codec import parse_endpoint
from bramleydyke.constants import MAX_DATAGRAM_BYTES
from bramleydyke.errors import ErrorKind, counter_name
from bramleydyke.ports import Counter

RECEIVE_BYTES = 65_536
"""Read size; a larger one than is accepted, so that oversize is counted."""


class Datagrams(DatagramProtocol):
    """Sends and receives frames by UDP."""

    def __init__(
        self,
        *,
        reactor: Any,
        endpoint: str,
        receive: Callable[[bytes], None],
        count: Counter,
    ) -> None:
        self.receive = receive
        self.count = count
        address = parse_endpoint(endpoint)
        assert address is not None, endpoint
        self.port = reactor.listenUDP(
            address[1], self, interface=address[0], maxPacketSize=RECEIVE_BYTES
        )

    def datagramReceived(  # noqa: N802 - name given by twisted
        self, datagram: bytes, address: tuple[str, int]
    ) -> None:
        """Takes a frame; an oversized one is refused and counted."""
        if len(datagram) > MAX_DATAGRAM_BYTES:
            self.count(counter_name(ErrorKind.FRAME_TOO_LARGE))
            return
        self.receive(datagram)

    def send(self, endpoint: str, frame: bytes) -> None:
        """Sends a frame; it may be lost."""
        address = parse_endpoint(endpoint)
        if address is None or self.transport is None:
            self.count("datagrams.bad_endpoint")
            return
        try:
            self.transport.write(frame, address)
        except OSError:
            self.count("datagrams.send_failed")

    def close(self) -> Any:
        """Closes the port."""
        return self.port.stopListening()
