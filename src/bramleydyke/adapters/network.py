"""Exchanges messages with other nodes over UDP and ZeroMQ links."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from typing import Any

import zmq
from returns.result import Failure, Success

from bramleydyke.adapters.codec import ReceivedFrame, decode, encode, prefers_datagram
from bramleydyke.adapters.datagrams import Datagrams
from bramleydyke.adapters.links import LINGER_MS, Links
from bramleydyke.constants import MAX_DATAGRAM_BYTES
from bramleydyke.core.members import Members
from bramleydyke.errors import ErrorKind, counter_name
from bramleydyke.messages import Envelope
from bramleydyke.ports import Clock, Counter, SendRemote
from bramleydyke.types import NodeId

MAX_LEARNED_ENDPOINTS = 8_192
"""Maximum number of endpoints learned from received frames."""


class Network:
    """Encodes, sends, receives and decodes the messages of one node.

    The endpoint of another node comes from its announcement, otherwise from
    the settings, otherwise from its last frame. The last source lets a node
    reply to a balancer whose announcement has not arrived yet.

    Attributes:
        members: Announcements of other nodes, by node id.
        seeds: Endpoints in the settings, by node id.
        deliver: Called with each message that arrives for this node.
        learned_endpoints: Endpoints from received frames, least recently seen
            first.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        clock: Clock,
        context: zmq.Context[Any],
        node_id: NodeId,
        endpoint: str,
        members: Members,
        seeds: Mapping[NodeId, str],
        deliver: SendRemote,
        count: Counter,
    ) -> None:
        self.node_id = node_id
        self.endpoint = endpoint
        self.members = members
        self.seeds = seeds
        self.deliver = deliver
        self.count = count
        self.learned_endpoints: OrderedDict[NodeId, str] = OrderedDict()
        self.links = Links(
            reactor=reactor,
            clock=clock,
            context=context,
            endpoint=endpoint,
            receive=self.receive,
            count=count,
        )
        self.datagrams = Datagrams(
            reactor=reactor, endpoint=endpoint, receive=self.receive, count=count
        )

    def send(self, envelope: Envelope) -> None:
        """Sends a message to another node; it may be lost.

        A message whose receiver has no known endpoint, or that is too large,
        is dropped and counted.
        """
        endpoint = self.endpoint_of(envelope.receiver)
        if endpoint is None:
            self.count("network.no_endpoint")
            return
        match encode(envelope, endpoint=self.endpoint):
            case Success(frame):
                fits = len(frame) <= MAX_DATAGRAM_BYTES
                by_datagram = fits and prefers_datagram(envelope.payload)
                (self.datagrams if by_datagram else self.links).send(endpoint, frame)
            case Failure(kind):
                self.count(counter_name(kind))

    def receive(self, frame: bytes) -> None:
        """Decodes a frame and delivers it; counts an invalid one by reason."""
        match decode(frame):
            case Success(received):
                self._accept(received)
            case Failure(kind):
                self.count(counter_name(kind))

    def endpoint_of(self, node_id: NodeId) -> str | None:
        """Returns the ``ip:port`` of a node, or None if it is unknown."""
        member = self.members.by_node.get(node_id)
        if member is not None:
            return member.endpoint
        return self.seeds.get(node_id) or self.learned_endpoints.get(node_id)

    def close(self, *, linger_ms: int = LINGER_MS) -> None:
        """Closes the UDP port and all links.

        Args:
            linger_ms: See ``Links.close``.
        """
        self.links.close(linger_ms=linger_ms)
        self.datagrams.close()

    def _accept(self, received: ReceivedFrame) -> None:
        envelope = received.envelope
        if envelope.receiver != self.node_id:
            # The sender may still know this endpoint as that of the node which
            # used it before.
            self.count("network.other_receiver")
            self.count(counter_name(ErrorKind.BAD_FRAME))
            return
        self.learned_endpoints[envelope.sender] = received.endpoint
        self.learned_endpoints.move_to_end(envelope.sender)
        if len(self.learned_endpoints) > MAX_LEARNED_ENDPOINTS:
            self.learned_endpoints.popitem(last=False)
        self.deliver(envelope)
