"""UDP sockets of an agent, one connected to the upstream for each flow.

They are the local port ``local/upstream`` for UDP services.
"""

from __future__ import annotations

from typing import Any

from twisted.internet.error import CannotListenError, MessageLengthError
from twisted.internet.protocol import DatagramProtocol

from bramleydyke.adapters.datagrams import MAX_RECEIVE_BYTES
from bramleydyke.constants import AGENT_FLOWS
from bramleydyke.endpoints import parse_endpoint
from bramleydyke.messages import FlowReset, PacketAnswered, PacketDeliver, Payload
from bramleydyke.ports import Counter, Deliver
from bramleydyke.types import LOCAL_UPSTREAM, FlowId


class UdpUpstream:
    """Exchanges the packets of many flows with one upstream.

    Each flow has its own socket, so the upstream sees each flow as a
    separate client. When the agent changes the binding number of a flow, the
    socket is replaced, so that the upstream and the network path see a new
    source port.

    Attributes:
        address: IP address and port of the upstream.
        max_sockets: Maximum number of sockets; packets of further flows are
            dropped.
        sockets: Sockets by flow.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        endpoint: str,
        deliver: Deliver,
        count: Counter,
        max_sockets: int = AGENT_FLOWS,
    ) -> None:
        address = parse_endpoint(endpoint)
        assert address is not None, endpoint
        self.reactor = reactor
        self.address = address
        self.deliver = deliver
        self.count = count
        self.max_sockets = max_sockets
        self.sockets: dict[FlowId, _FlowSocket] = {}

    def handle(self, payload: Payload) -> None:
        """Sends a flow's packet or closes its socket."""
        if isinstance(payload, PacketDeliver):
            self._send(payload)
        elif isinstance(payload, FlowReset):
            self._close(payload.flow_id)

    def close(self) -> None:
        """Closes the sockets of all flows."""
        for flow_id in list(self.sockets):
            self._close(flow_id)

    def _send(self, message: PacketDeliver) -> None:
        socket = self.sockets.get(message.flow_id)
        if socket is None or socket.binding != message.binding:
            self._close(message.flow_id)
            socket = self._open(message)
        if socket is None:
            return
        try:
            socket.transport.write(message.data)
        except (OSError, MessageLengthError):
            self.count("udp_upstream.send_failed")

    def _open(self, message: PacketDeliver) -> _FlowSocket | None:
        if len(self.sockets) >= self.max_sockets:
            self.count("udp_upstream.sockets_full")
            return None
        socket = _FlowSocket(self, message.flow_id, message.binding)
        try:
            self.reactor.listenUDP(0, socket, maxPacketSize=MAX_RECEIVE_BYTES)
        except (CannotListenError, OSError):
            self.count("udp_upstream.no_socket")
            return None
        self.sockets[message.flow_id] = socket
        return socket

    def _close(self, flow_id: FlowId) -> None:
        socket = self.sockets.pop(flow_id, None)
        if socket is not None:
            socket.transport.stopListening()


class _FlowSocket(DatagramProtocol):
    noisy = False

    def __init__(self, upstream: UdpUpstream, flow_id: FlowId, binding: int) -> None:
        self.upstream = upstream
        self.flow_id = flow_id
        self.binding = binding

    def startProtocol(self) -> None:  # noqa: N802 - name given by twisted
        """Connects the socket, so that it receives from the upstream only."""
        self.transport.connect(*self.upstream.address)

    def datagramReceived(  # noqa: N802 - name given by twisted
        self, datagram: bytes, _: tuple[str, int]
    ) -> None:
        """Delivers a packet of the upstream to the agent."""
        message = PacketAnswered(
            flow_id=self.flow_id, binding=self.binding, data=datagram
        )
        self.upstream.deliver(LOCAL_UPSTREAM, message)

    def connectionRefused(self) -> None:  # noqa: N802 - name given by twisted
        """Counts an ICMP port-unreachable reply; the flow is kept.

        Nothing listens at the upstream's address at this time.
        """
        self.upstream.count("udp_upstream.refused")
