"""UDP port of a node."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import DatagramProtocol

from bramleydyke.constants import MAX_DATAGRAM_BYTES
from bramleydyke.endpoints import parse_endpoint
from bramleydyke.errors import ErrorKind, counter_name
from bramleydyke.ports import Counter

RECEIVE_BYTES = 65_536
"""Read size; a larger one than is accepted, so that oversize is counted."""


def send_datagram(
    transport: Any,
    data: bytes,
    address: tuple[str, int],
    *,
    count: Counter,
    failed: str,
) -> None:
    """Sends a datagram to an address that has been parsed before.

    Goes past ``transport.write``, which parses the address again for each
    datagram: that took a third of the time of a relayed one.

    Args:
        transport: A twisted UDP port.
        data: The datagram; it is lost if the send buffer is full.
        address: IP number and port.
        count: Counts a datagram that the system did not take.
        failed: Name to count it under.
    """
    try:
        transport.socket.sendto(data, address)
    except OSError:
        count(failed)


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
        send_datagram(
            self.transport,
            frame,
            address,
            count=self.count,
            failed="datagrams.send_failed",
        )

    def close(self) -> Any:
        """Closes the port."""
        return self.port.stopListening()
