"""TCP server of a balancer, which accepts the callers' connections.

It is the local port ``local/caller`` for TCP services.
"""

from __future__ import annotations

import itertools

from twisted.internet.protocol import Factory

from bramleydyke.adapters.byte_connection import ByteConnection, dispatch_to_connection
from bramleydyke.errors import ErrorKind
from bramleydyke.messages import ConnectionOpened, Payload
from bramleydyke.ports import Deliver
from bramleydyke.types import LOCAL_CALLER, ServiceAddress


class TcpEdge:
    """Callers' connections to all TCP service addresses of one balancer.

    Attributes:
        open: Open connections by id.
    """

    def __init__(self, *, deliver: Deliver) -> None:
        self.deliver = deliver
        self.open: dict[str, ByteConnection] = {}
        self._numbers = itertools.count(1)

    def connection_factory(self, address: ServiceAddress) -> Factory:
        """Returns a factory for the connections to a service address."""
        factory = Factory.forProtocol(lambda: self._connection(address))
        factory.noisy = False
        return factory

    def handle(self, payload: Payload) -> None:
        """Passes a message of the balancer to the connection it names."""
        dispatch_to_connection(self.open, payload)

    def abort_all(self) -> None:
        """Resets all connections without messages to the balancer."""
        for connection in list(self.open.values()):
            connection.abort()

    def _connection(self, address: ServiceAddress) -> ByteConnection:
        name = f"c{next(self._numbers)}"
        return ByteConnection(
            connection=name,
            opened_message=ConnectionOpened(connection=name, address=address),
            loss_kind=ErrorKind.CANCELLED,
            send_to_role=lambda payload: self.deliver(LOCAL_CALLER, payload),
            connections=self.open,
        )
