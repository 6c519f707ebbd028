"""Message links between nodes: pyzmq ROUTER and DEALER in the reactor.

Each node binds one ROUTER, which only receives, and connects one DEALER to
each node that it sends to. The file descriptor of a zmq socket is
edge-triggered: it signals only changes, and a send can consume the signal of
a change. So the socket's events are read until none is left, and are looked
at again after each send.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import zmq
from twisted.internet.interfaces import IReadDescriptor
from zope.interface import implementer

from bramleydyke.constants import MAX_FRAME_BYTES
from bramleydyke.endpoints import parse_endpoint
from bramleydyke.errors import ErrorKind, counter_name
from bramleydyke.ports import Clock, Counter

MAX_READS = 200
"""Frames that are read before other sockets get their turn."""

MAX_WAITING_FRAMES = 2_000
"""Frames that wait for one unreachable node; older ones are dropped."""

MAX_WAIT_S = 2.0
"""Age at which a waiting frame is dropped.

Far below the age up to which an agent recognises late copies of an offer.
"""

LINK_IDLE_S = 60.0
"""Time without a send after which a link is closed."""

SWEEP_S = 1.0
"""Interval at which old frames and idle links are looked for."""

HEARTBEAT_MS = 1_000
"""Interval at which a link is checked for silence."""

SILENT_MS = 3_000
"""Silence after which a link is connected anew."""

LINGER_MS = 500
"""Time that a clean stop gives to frames that are on their way out."""

OVERSIZE_MARGIN_BYTES = 64 * 1024
"""Frames up to this much over the bound are counted.

The socket closes the connection of a peer that sends larger ones.
"""


def new_context() -> zmq.Context[Any]:
    """Returns a zmq context for all links of one process."""
    context: zmq.Context[Any] = zmq.Context()
    context.set(zmq.MAX_SOCKETS, 8_192)
    return context


@implementer(IReadDescriptor)
@dataclass(eq=False, slots=True, weakref_slot=True)
class _Watched:
    """A zmq socket's file descriptor in the reactor."""

    socket: zmq.Socket[Any]
    on_change: Callable[[], None]

    def fileno(self) -> int:
        return self.socket.get(zmq.FD)

    def doRead(self) -> None:  # noqa: N802 - name given by twisted
        self.on_change()

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Called when the reactor stops; the owner closes the socket."""

    def logPrefix(self) -> str:  # noqa: N802
        return "links"


@dataclass(eq=False, slots=True)
class _Peer:
    socket: zmq.Socket[Any]
    used_at: float
    waiting: deque[tuple[float, bytes]] = field(default_factory=deque)
    watched: _Watched | None = None


class Links:
    """All links of one node.

    Attributes:
        peers: Outgoing link to each endpoint.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        clock: Clock,
        context: zmq.Context[Any],
        endpoint: str,
        receive: Callable[[bytes], None],
        count: Counter,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.context = context
        self.receive = receive
        self.count = count
        self.peers: dict[str, _Peer] = {}
        self.closed = False
        self.router = context.socket(zmq.ROUTER)
        self.router.set(zmq.MAXMSGSIZE, MAX_FRAME_BYTES + OVERSIZE_MARGIN_BYTES)
        self._bind(endpoint)
        self._watched = _Watched(self.router, self._read)
        reactor.addReader(self._watched)
        self._sweeper = clock.callLater(SWEEP_S, self._sweep)
        clock.callLater(0, self._read)

    def _bind(self, endpoint: str) -> None:
        try:
            self.router.bind(f"tcp://{endpoint}")
        except zmq.ZMQError:
            self.router.close(linger=0)
            raise

    def send(self, endpoint: str, frame: bytes) -> None:
        """Sends a frame, or lets it wait while the node is unreachable."""
        if self.closed:
            return
        if parse_endpoint(endpoint) is None:
            self.count("links.bad_endpoint")
            return
        peer = self.peers.get(endpoint) or self._connect(endpoint)
        peer.used_at = self.clock.seconds()
        if len(peer.waiting) >= MAX_WAITING_FRAMES:
            peer.waiting.popleft()
            self.count("links.dropped")
        peer.waiting.append((peer.used_at + MAX_WAIT_S, frame))
        self._flush(peer)

    def close(self, *, linger_ms: int = LINGER_MS) -> None:
        """Closes all sockets.

        Args:
            linger_ms: 0 drops frames that are on their way out.
        """
        if self.closed:
            return
        self.closed = True
        if self._sweeper.active():
            self._sweeper.cancel()
        self.reactor.removeReader(self._watched)
        self.router.close(linger=0)
        for peer in self.peers.values():
            self._close_peer(peer, linger_ms)
        self.peers.clear()

    def _connect(self, endpoint: str) -> _Peer:
        socket = self.context.socket(zmq.DEALER)
        # Without IMMEDIATE a frame would wait without limit for a node that
        # is gone, and would reach its successor.
        socket.set(zmq.IMMEDIATE, 1)
        socket.set(zmq.SNDHWM, MAX_WAITING_FRAMES)
        socket.set(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
        socket.set(zmq.HEARTBEAT_TIMEOUT, SILENT_MS)
        socket.set(zmq.RECONNECT_IVL, 50)
        socket.set(zmq.RECONNECT_IVL_MAX, 1_000)
        socket.connect(f"tcp://{endpoint}")
        peer = _Peer(socket, self.clock.seconds())
        peer.watched = _Watched(socket, lambda: self._flush(peer))
        self.peers[endpoint] = peer
        self.reactor.addReader(peer.watched)
        return peer

    def _flush(self, peer: _Peer) -> None:
        """Sends what waits, for as long as the socket takes it.

        Asks for the events before each send and after the last: a send that
        fails can process a new connection and so consume the signal of it.
        """
        now = self.clock.seconds()
        while not peer.socket.closed:
            events = peer.socket.get(zmq.EVENTS)
            if events & zmq.POLLIN:
                # A node's ROUTER never sends, so this comes from another kind
                # of program.
                peer.socket.recv_multipart(zmq.NOBLOCK)
                self.count(counter_name(ErrorKind.BAD_FRAME))
            elif peer.waiting and peer.waiting[0][0] < now:
                peer.waiting.popleft()
                self.count("links.expired")
            elif peer.waiting and events & zmq.POLLOUT:
                peer.socket.send(peer.waiting.popleft()[1], zmq.NOBLOCK)
            else:
                return

    def _read(self) -> None:
        """Reads frames until none is left, or others must get their turn."""
        for _ in range(MAX_READS):
            if self.closed or not self.router.get(zmq.EVENTS) & zmq.POLLIN:
                return
            parts = self.router.recv_multipart(zmq.NOBLOCK)
            if len(parts) == 2:
                self.receive(parts[1])
            else:
                self.count(counter_name(ErrorKind.BAD_FRAME))
        self.clock.callLater(0, self._read)

    def _sweep(self) -> None:
        """Drops old frames and closes idle links."""
        now = self.clock.seconds()
        for endpoint, peer in list(self.peers.items()):
            self._flush(peer)
            if now - peer.used_at > LINK_IDLE_S and not peer.waiting:
                self._close_peer(self.peers.pop(endpoint), LINGER_MS)
        self._sweeper = self.clock.callLater(SWEEP_S, self._sweep)

    def _close_peer(self, peer: _Peer, linger_ms: int) -> None:
        self.reactor.removeReader(peer.watched)
        peer.socket.close(linger=linger_ms)
