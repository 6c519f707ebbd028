"""Links between nodes: ZeroMQ connections driven by the Twisted reactor.

Each node binds one ROUTER socket, which only receives, and connects one
DEALER socket to each node that it sends to. The file descriptor of a ZeroMQ
socket is edge-triggered: it signals only changes, and a send can consume the
signal of a change. So events are handled until none is pending, and checked
again after each send.
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

MAX_FRAMES_PER_READ = 200
"""Frames read in one reactor iteration, so that other sockets are served."""

MAX_QUEUED_FRAMES = 2_000
"""Maximum number of frames queued for one unreachable node.

If the queue is full, the oldest frame is dropped.
"""

MAX_QUEUE_AGE_S = 2.0
"""Age at which a queued frame is dropped, in seconds.

It is far below the age up to which an agent recognises a late duplicate of an
offer.
"""

LINK_IDLE_S = 60.0
"""Time without a send after which a link is closed."""

SWEEP_INTERVAL_S = 1.0
"""Interval between checks for expired frames and idle links."""

HEARTBEAT_INTERVAL_MS = 1_000
"""Interval of ZeroMQ heartbeats on a link."""

HEARTBEAT_TIMEOUT_MS = 3_000
"""Time without traffic after which ZeroMQ reconnects."""

LINGER_MS = 500
"""Time that ZeroMQ gets to transmit frames after a socket is closed."""

OVERSIZE_MARGIN_BYTES = 64 * 1024
"""Size above ``MAX_FRAME_BYTES`` up to which the ROUTER accepts a frame.

The codec rejects and counts such a frame. ZeroMQ closes the connection of a
peer that sends a larger one, and nothing is counted.
"""


def new_context() -> zmq.Context[Any]:
    """Returns the ZeroMQ context that all nodes of one process share.

    Raises the limit on sockets, because a node needs one for each peer.
    """
    context: zmq.Context[Any] = zmq.Context()
    context.set(zmq.MAX_SOCKETS, 8_192)
    return context


@implementer(IReadDescriptor)
@dataclass(eq=False, slots=True, weakref_slot=True)
class _SocketReader:
    """Lets the reactor watch the file descriptor of a ZeroMQ socket."""

    socket: zmq.Socket[Any]
    on_event: Callable[[], None]

    def fileno(self) -> int:
        return self.socket.get(zmq.FD)

    def doRead(self) -> None:  # noqa: N802 - name given by twisted
        self.on_event()

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Called when the reactor stops; the owner closes the socket."""

    def logPrefix(self) -> str:  # noqa: N802
        return "links"


@dataclass(eq=False, slots=True)
class _Peer:
    socket: zmq.Socket[Any]
    last_used_at: float
    queue: deque[tuple[float, bytes]] = field(default_factory=deque)
    reader: _SocketReader | None = None


class Links:
    """The links of one node, for messages that are not sent over UDP.

    Delivery is not guaranteed: a frame is lost if its receiver is unreachable
    for ``MAX_QUEUE_AGE_S`` or crashes.

    Attributes:
        receive: Called with each frame that arrives.
        count: Adds to a counter, by name.
        peers: Outgoing link to each endpoint (``ip:port``).
        closed: True after ``close``; later sends are ignored.
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
        self._router_reader = _SocketReader(self.router, self._read)
        reactor.addReader(self._router_reader)
        self._sweep_call = clock.callLater(SWEEP_INTERVAL_S, self._sweep)
        clock.callLater(0, self._read)

    def _bind(self, endpoint: str) -> None:
        try:
            self.router.bind(f"tcp://{endpoint}")
        except zmq.ZMQError:
            self.router.close(linger=0)
            raise

    def send(self, endpoint: str, frame: bytes) -> None:
        """Sends a frame, or queues it while the node is unreachable.

        Opens a link if there is none. Drops and counts expired frames, the
        oldest frame of a full queue and a frame to a malformed endpoint.

        Args:
            endpoint: Endpoint of the receiver, as ``ip:port``.
            frame: The encoded message.
        """
        if self.closed:
            return
        if parse_endpoint(endpoint) is None:
            self.count("links.bad_endpoint")
            return
        peer = self.peers.get(endpoint) or self._connect(endpoint)
        peer.last_used_at = self.clock.seconds()
        if len(peer.queue) >= MAX_QUEUED_FRAMES:
            peer.queue.popleft()
            self.count("links.dropped")
        peer.queue.append((peer.last_used_at + MAX_QUEUE_AGE_S, frame))
        self._flush(peer)

    def close(self, *, linger_ms: int = LINGER_MS) -> None:
        """Closes all sockets; may be called more than once.

        Args:
            linger_ms: Time that ZeroMQ gets to transmit frames that it has
                accepted; 0 drops them.
        """
        if self.closed:
            return
        self.closed = True
        if self._sweep_call.active():
            self._sweep_call.cancel()
        self.reactor.removeReader(self._router_reader)
        self.router.close(linger=0)
        for peer in self.peers.values():
            self._close_peer(peer, linger_ms)
        self.peers.clear()

    def _connect(self, endpoint: str) -> _Peer:
        socket = self.context.socket(zmq.DEALER)
        # Without IMMEDIATE, ZeroMQ would queue frames without time limit for
        # a node that has stopped, and send them to a node that later uses the
        # same endpoint.
        socket.set(zmq.IMMEDIATE, 1)
        socket.set(zmq.SNDHWM, MAX_QUEUED_FRAMES)
        socket.set(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        socket.set(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        socket.set(zmq.RECONNECT_IVL, 50)
        socket.set(zmq.RECONNECT_IVL_MAX, 1_000)
        socket.connect(f"tcp://{endpoint}")
        peer = _Peer(socket, self.clock.seconds())
        peer.reader = _SocketReader(socket, lambda: self._flush(peer))
        self.peers[endpoint] = peer
        self.reactor.addReader(peer.reader)
        return peer

    def _flush(self, peer: _Peer) -> None:
        """Sends queued frames until the socket accepts no more.

        Reads the events before each send and after the last: a failed send
        can process a new connection and thereby consume its signal.
        """
        now = self.clock.seconds()
        while not peer.socket.closed:
            events = peer.socket.get(zmq.EVENTS)
            if events & zmq.POLLIN:
                # A node's ROUTER never sends, so the peer is not a node.
                peer.socket.recv_multipart(zmq.NOBLOCK)
                self.count(counter_name(ErrorKind.BAD_FRAME))
            elif peer.queue and peer.queue[0][0] < now:
                peer.queue.popleft()
                self.count("links.expired")
            elif peer.queue and events & zmq.POLLOUT:
                peer.socket.send(peer.queue.popleft()[1], zmq.NOBLOCK)
            else:
                return

    def _read(self) -> None:
        """Reads frames until none is left.

        After ``MAX_FRAMES_PER_READ`` frames it continues in the next reactor
        iteration, so that other sockets and timers are served.
        """
        for _ in range(MAX_FRAMES_PER_READ):
            if self.closed or not self.router.get(zmq.EVENTS) & zmq.POLLIN:
                return
            parts = self.router.recv_multipart(zmq.NOBLOCK)
            if len(parts) == 2:
                self.receive(parts[1])
            else:
                self.count(counter_name(ErrorKind.BAD_FRAME))
        self.clock.callLater(0, self._read)

    def _sweep(self) -> None:
        """Drops expired frames and closes idle links, at regular intervals."""
        now = self.clock.seconds()
        for endpoint, peer in list(self.peers.items()):
            self._flush(peer)
            if now - peer.last_used_at > LINK_IDLE_S and not peer.queue:
                self._close_peer(self.peers.pop(endpoint), LINGER_MS)
        self._sweep_call = self.clock.callLater(SWEEP_INTERVAL_S, self._sweep)

    def _close_peer(self, peer: _Peer, linger_ms: int) -> None:
        self.reactor.removeReader(peer.reader)
        peer.socket.close(linger=linger_ms)
