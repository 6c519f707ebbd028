"""Sends and receives frames as UDP datagrams."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import DatagramProtocol

from bramleydyke.constants import MAX_DATAGRAM_BYTES
from bramleydyke.endpoints import parse_endpoint
from bramleydyke.errors import ErrorKind, counter_name
from bramleydyke.ports import Counter

MAX_RECEIVE_BYTES = 65_536
"""Size of the receive buffer, which holds any UDP datagram.

It exceeds ``MAX_DATAGRAM_BYTES``, so that an oversized datagram is received
whole and counted instead of being truncated.
"""


def send_datagram(
    transport: Any,
    data: bytes,
    address: tuple[str, int],
    *,
    count: Counter,
    failure_counter: str,
) -> None:
    """Sends a datagram to an address that is already parsed.

    Bypasses ``transport.write``, which parses the address again for each
    datagram; that took a third of the time needed to relay one.

    Args:
        transport: A Twisted UDP port.
        data: The datagram; it is dropped if the send buffer is full.
        address: IP address and port number.
        count: Called with ``failure_counter`` if the operating system
            rejects the datagram.
        failure_counter: Name of the counter of rejected datagrams.
    """
    try:
        transport.socket.sendto(data, address)
    except OSError:
        count(failure_counter)


class Datagrams(DatagramProtocol):
    """The UDP port of one node, for frames up to ``MAX_DATAGRAM_BYTES``."""

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
            address[1], self, interface=address[0], maxPacketSize=MAX_RECEIVE_BYTES
        )

    def datagramReceived(  # noqa: N802 - name given by twisted
        self, datagram: bytes, address: tuple[str, int]
    ) -> None:
        """Passes a frame to ``receive``; drops and counts an oversized one."""
        if len(datagram) > MAX_DATAGRAM_BYTES:
            self.count(counter_name(ErrorKind.FRAME_TOO_LARGE))
            return
        self.receive(datagram)

    def send(self, endpoint: str, frame: bytes) -> None:
        """Sends a frame to an ``ip:port``; it may be lost on the way.

        A malformed endpoint and a failed send are counted, not raised.
        """
        address = parse_endpoint(endpoint)
        if address is None or self.transport is None:
            self.count("datagrams.bad_endpoint")
            return
        send_datagram(
            self.transport,
            frame,
            address,
            count=self.count,
            failure_counter="datagrams.send_failed",
        )

    def close(self) -> Any:
        """Closes the port; returns a Deferred that fires when it is closed."""
        return self.port.stopListening()
