"""UDP sockets of a balancer, which receive the callers' packets.

They are the local port ``local/caller`` for UDP services.
"""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import DatagramProtocol

from bramleydyke.adapters.datagrams import MAX_RECEIVE_BYTES, send_datagram
from bramleydyke.endpoints import parse_endpoint
from bramleydyke.messages import PacketIn, PacketOut, Payload
from bramleydyke.ports import Counter, Deliver
from bramleydyke.types import LOCAL_CALLER, CallerAddress, ServiceAddress


class UdpEdge:
    """Listens on all UDP service addresses of one balancer.

    Attributes:
        sockets: Sockets by service address.
    """

    def __init__(self, *, reactor: Any, deliver: Deliver, count: Counter) -> None:
        self.reactor = reactor
        self.deliver = deliver
        self.count = count
        self.sockets: dict[ServiceAddress, _EdgeSocket] = {}

    def listen(self, address: ServiceAddress, endpoint: str) -> None:
        """Starts receiving packets for a service address.

        Args:
            address: Service address that the balancer's messages name.
            endpoint: Address to bind, as ``ip:port``.
        """
        parsed = parse_endpoint(endpoint)
        assert parsed is not None, endpoint
        socket = _EdgeSocket(self, address)
        self.reactor.listenUDP(
            parsed[1], socket, interface=parsed[0], maxPacketSize=MAX_RECEIVE_BYTES
        )
        self.sockets[address] = socket

    def handle(self, payload: Payload) -> None:
        """Sends the packet in a balancer's message to a caller.

        The packet may be lost. Counts a packet that cannot be sent.
        """
        if not isinstance(payload, PacketOut):
            return
        socket = self.sockets.get(payload.address)
        caller = parse_endpoint(payload.caller)
        if socket is None or caller is None:
            self.count("udp_edge.no_address")
            return
        send_datagram(
            socket.transport,
            payload.data,
            caller,
            count=self.count,
            failure_counter="udp_edge.send_failed",
        )

    def close(self) -> None:
        """Closes all sockets."""
        for socket in self.sockets.values():
            socket.transport.stopListening()
        self.sockets.clear()


class _EdgeSocket(DatagramProtocol):
    noisy = False

    def __init__(self, edge: UdpEdge, address: ServiceAddress) -> None:
        self.edge = edge
        self.address = address

    def datagramReceived(  # noqa: N802 - name given by twisted
        self, datagram: bytes, caller: tuple[str, int]
    ) -> None:
        """Delivers a caller's packet to the balancer."""
        message = PacketIn(
            address=self.address,
            caller=CallerAddress(f"{caller[0]}:{caller[1]}"),
            data=datagram,
        )
        self.edge.deliver(LOCAL_CALLER, message)
