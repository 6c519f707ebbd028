"""TCP client of an agent, with one upstream connection per byte stream.

It is the local port ``local/upstream`` for TCP services.
"""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol

from bramleydyke.adapters.byte_connection import ByteConnection, dispatch_to_connection
from bramleydyke.constants import STREAM_OPEN_S
from bramleydyke.endpoints import parse_endpoint
from bramleydyke.errors import ErrorKind
from bramleydyke.messages import (
    ConnectionAbort,
    ConnectionReady,
    OpenConnection,
    Payload,
)
from bramleydyke.ports import Counter, Deliver
from bramleydyke.types import LOCAL_UPSTREAM


class TcpUpstream:
    """Opens, uses and closes TCP connections to one upstream.

    Attributes:
        client: Twisted endpoint of the upstream.
        connecting: Connection attempts in progress, by connection id.
        open: Open connections by id.
    """

    def __init__(
        self, *, reactor: Any, endpoint: str, deliver: Deliver, count: Counter
    ) -> None:
        address = parse_endpoint(endpoint)
        assert address is not None, endpoint
        self.client = TCP4ClientEndpoint(reactor, *address, timeout=STREAM_OPEN_S)
        self.deliver = deliver
        self.count = count
        self.connecting: dict[str, Deferred[Any]] = {}
        self.open: dict[str, ByteConnection] = {}

    def handle(self, payload: Payload) -> None:
        """Opens a connection, or passes a message to an existing one.

        An abort that arrives during an attempt to connect cancels it.
        """
        if isinstance(payload, OpenConnection):
            self._connect(payload.connection)
            return
        if isinstance(payload, ConnectionAbort):
            call = self.connecting.pop(payload.connection, None)
            if call is not None:
                call.cancel()
                return
        dispatch_to_connection(self.open, payload)

    def close(self) -> None:
        """Cancels attempts to connect and resets all connections."""
        calls = list(self.connecting.values())
        self.connecting.clear()
        for call in calls:
            call.cancel()
        for connection in list(self.open.values()):
            connection.abort()

    def _send_to_agent(self, payload: Payload) -> None:
        if isinstance(payload, ConnectionReady):
            self.connecting.pop(payload.connection, None)
        self.deliver(LOCAL_UPSTREAM, payload)

    def _connect(self, name: str) -> None:
        protocol = ByteConnection(
            connection=name,
            opened_message=ConnectionReady(connection=name),
            loss_kind=ErrorKind.UPSTREAM_FAILED,
            send_to_role=self._send_to_agent,
            connections=self.open,
        )
        call = self.connecting[name] = connectProtocol(self.client, protocol)
        call.addErrback(lambda _: self._failed(name))

    def _failed(self, name: str) -> None:
        """Reports a failed attempt, unless the agent has cancelled it."""
        if self.connecting.pop(name, None) is None:
            return
        self.count("tcp_upstream.not_reached")
        kind = ErrorKind.UPSTREAM_FAILED
        self.deliver(LOCAL_UPSTREAM, ConnectionAbort(connection=name, kind=kind))
