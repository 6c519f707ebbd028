"""Drain orders, from an operator's drain object to the draining process.

Lease holders read the operators' drain objects below ``drains/``. For each
object they send an order to the node that it names, until the node
acknowledges the order.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from bramleydyke.core.counting import count_refused
from bramleydyke.core.members import ABSENT_STATES, Members
from bramleydyke.errors import ErrorKind
from bramleydyke.messages import DrainAck, DrainOrder, Envelope
from bramleydyke.types import Incarnation, MemberState, NodeId

DRAIN_PREFIX = "drains/"


class DrainObject(msgspec.Struct, frozen=True):
    """Drain state that an operator requests for a node.

    Stored as JSON at ``drains/<partner>/<name>``.
    """

    node_id: NodeId
    """Agent ``agent/<service>/<upstream>`` or balancer ``balancer/<name>``."""

    draining: bool = True
    """False if the node shall take new work again."""


def may_drain(partner: str, node_id: NodeId) -> bool:
    """Returns whether a partner's operators may drain a node.

    They may drain the partner's own upstreams. Balancers are shared, and any
    partner's operators may drain one, since the others take over its work.
    """
    return node_id.startswith((f"agent/{partner}/", "balancer/"))


@dataclass(slots=True, kw_only=True)
class Fence:
    """Rejects messages of former lease holders by their fencing tokens.

    Attributes:
        tokens: Highest token seen of each lease, by the lease's path.
    """

    tokens: dict[str, int] = field(default_factory=dict)

    def admits(self, lease: str, token: int) -> bool:
        """Returns whether the token is not outdated, and stores it if so."""
        if token < self.tokens.get(lease, 0):
            return False
        self.tokens[lease] = token
        return True


@dataclass(slots=True)
class _DrainRequest:
    """Newest content of a drain object, and its acknowledgement."""

    node_id: NodeId
    draining: bool
    version: int
    acknowledged: Incarnation = Incarnation(-1)
    """Incarnation of the node that acknowledged this version."""


@dataclass(slots=True, kw_only=True)
class DrainOrders:
    """Drain objects that a lease holder has read, and their drain orders.

    Attributes:
        node_id: This balancer.
        members: Newest announcement of each known node.
        requests: Newest request at each path.
    """

    node_id: NodeId
    members: Members
    requests: dict[str, _DrainRequest] = field(default_factory=dict)

    def update(self, path: str, value: bytes, version: int) -> ErrorKind | None:
        """Stores a drain object; returns an error kind if it is refused."""
        try:
            wanted = msgspec.json.decode(value, type=DrainObject)
        except msgspec.MsgspecError:
            return ErrorKind.BAD_REQUEST
        partner = path.removeprefix(DRAIN_PREFIX).split("/")[0]
        if not may_drain(partner, wanted.node_id):
            return ErrorKind.WRONG_PARTNER
        known = self.requests.get(path)
        if known is None or version > known.version:
            self.requests[path] = _DrainRequest(
                wanted.node_id, wanted.draining, version
            )
        return None

    def unacknowledged(self, *, lease: str, token: int) -> list[Envelope]:
        """Returns the orders that nodes have not acknowledged yet.

        Absent nodes get no orders. A node that has restarted must acknowledge
        its order again.
        """
        return [
            Envelope(
                self.node_id,
                request.node_id,
                DrainOrder(
                    draining=request.draining,
                    version=request.version,
                    path=path,
                    lease=lease,
                    token=token,
                ),
            )
            for path, request in self.requests.items()
            if self._needs_order(request)
        ]

    def acknowledge(self, sender: NodeId, ack: DrainAck) -> None:
        """Records that an incarnation of a node has applied its order."""
        request = self.requests.get(ack.path)
        if request is not None and (sender, ack.version) == (
            request.node_id,
            request.version,
        ):
            request.acknowledged = ack.incarnation

    def _needs_order(self, request: _DrainRequest) -> bool:
        known = self.members.by_node.get(request.node_id)
        if known is None or known.state in ABSENT_STATES:
            return False
        return request.acknowledged < known.incarnation


@dataclass(slots=True, kw_only=True)
class DrainState:
    """Whether one process drains, and which requests ask for it.

    Attributes:
        node_id: This process.
        incarnation: Incarnation of this process, for its acknowledgements.
        stopping: True if a signal or local command requested the drain. An
            operator's undrain does not end such a drain.
        orders_by_path: Version and requested state of each drain order.
        fence: Rejects orders of former lease holders.
    """

    node_id: NodeId
    incarnation: Incarnation
    stopping: bool = False
    orders_by_path: dict[str, tuple[int, bool]] = field(default_factory=dict)
    fence: Fence = field(default_factory=Fence)

    @property
    def draining(self) -> bool:
        """True if a signal or any drain order asks this process to drain."""
        return self.stopping or any(
            requested for _, requested in self.orders_by_path.values()
        )

    @property
    def state(self) -> MemberState:
        """State to announce: draining or running."""
        return MemberState.DRAINING if self.draining else MemberState.RUNNING

    def order(self, sender: NodeId, order: DrainOrder) -> list[Envelope]:
        """Stores an operator's order if it is newer, and acknowledges it.

        An order of a former lease holder is refused and counted.
        """
        if not self.fence.admits(order.lease, order.token):
            return [count_refused(self.node_id, ErrorKind.FENCED)]
        version, _ = self.orders_by_path.get(order.path, (0, False))
        if order.version > version:
            self.orders_by_path[order.path] = (order.version, order.draining)
        ack = DrainAck(
            path=order.path, version=order.version, incarnation=self.incarnation
        )
        return [Envelope(self.node_id, sender, ack)]
