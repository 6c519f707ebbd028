"""TCP side towards callers: the connections of a balancer's byte streams."""

from __future__ import annotations

import itertools

from twisted.internet.protocol import Factory

from bramleydyke.adapters.byte_connection import ByteConnection, take_for
from bramleydyke.errors import ErrorKind
from bramleydyke.messages import ConnectionOpened, Payload
from bramleydyke.ports import Deliver
from bramleydyke.types import LOCAL_CALLER, ServiceAddress


class TcpEdge:
    """Connections of callers to all TCP service addresses of one balancer.

    Attributes:
        open: Open connections.
    """

    def __init__(self, *, deliver: Deliver) -> None:
        self.deliver = deliver
        self.open: dict[str, ByteConnection] = {}
        self._numbers = itertools.count(1)

    def connections(self, address: ServiceAddress) -> Factory:
        """Returns what takes connections for a service address."""
        factory = Factory.forProtocol(lambda: self._connection(address))
        factory.noisy = False
        return factory

    def take(self, payload: Payload) -> None:
        """Takes a message from the balancer to a caller."""
        take_for(self.open, payload)

    def break_all(self) -> None:
        """Resets all connections."""
        for connection in list(self.open.values()):
            connection.abort()

    def _connection(self, address: ServiceAddress) -> ByteConnection:
        name = f"c{next(self._numbers)}"
        return ByteConnection(
            connection=name,
            opening=ConnectionOpened(connection=name, address=address),
            broken=ErrorKind.CANCELLED,
            tell=lambda payload: self.deliver(LOCAL_CALLER, payload),
            table=self.open,
        )
