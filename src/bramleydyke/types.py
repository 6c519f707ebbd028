"""Identifiers and states that every other module shares."""

from __future__ import annotations

from enum import Enum
from typing import NewType

PartnerId = NewType("PartnerId", str)
"""One of the organisations that share the system."""

ServiceId = NewType("ServiceId", str)
"""A service; unique over all partners, in the form ``partner/name``."""

UpstreamId = NewType("UpstreamId", str)
"""An upstream as the sheet names it; unique within its service."""

NodeId = NewType("NodeId", str)
"""A process or a local port, as ``balancer/b1`` or ``local/caller``."""

AvailabilityZone = NewType("AvailabilityZone", str)
"""An availability zone; the sheets call it a place."""

ServiceAddress = NewType("ServiceAddress", str)
"""Where callers reach a service, as ``ip:port``."""

CallerAddress = NewType("CallerAddress", str)
"""Where a caller sends from, as ``ip:port``."""

RequestId = NewType("RequestId", str)
"""A request; the caller's idempotency key, or made by the balancer."""

FlowId = NewType("FlowId", int)
"""64-bit hash of a datagram flow's service and caller addresses."""

StreamId = NewType("StreamId", str)
"""A byte stream between a balancer and an agent."""

Generation = NewType("Generation", int)
"""Version of a partner's sheet, as the platform numbers it."""

Incarnation = NewType("Incarnation", int)
"""Distinguishes one run of a process from earlier runs under the same id."""

LOCAL_CALLER = NodeId("local/caller")
LOCAL_UPSTREAM = NodeId("local/upstream")
LOCAL_PLATFORM = NodeId("local/platform")
LOCAL_METRICS = NodeId("local/metrics")


class Protocol(Enum):
    """Kind of traffic that a service carries."""

    UDP = "udp"
    TCP = "tcp"
    HTTP = "http"


class Outcome(Enum):
    """What a caller is told about a request that has no answer."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class MemberState(Enum):
    """State of an agent or balancer as other processes see it."""

    RUNNING = "running"
    DRAINING = "draining"
    SUSPECT = "suspect"
    STOPPED = "stopped"


class RecordKnowledge(Enum):
    """What an agent tells another of a keyed request."""

    NEVER = "never"
    """It has not run here and will not."""

    HELD = "held"
    """This agent holds the record of the request, which has not ended."""

    DONE = "done"
    """It ran; the reply carries the answer if that is still kept."""

    UNKNOWN = "unknown"
    """It may have run in an earlier incarnation of this agent."""


class PlatformStatus(Enum):
    """Result of a call to the platform's object API."""

    OK = "ok"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    """The object's version is not the expected one; nothing was written."""

    FORBIDDEN = "forbidden"
    UNAVAILABLE = "unavailable"
    """The call was refused or could not be sent: nothing was written."""

    LOST = "lost"
    """No reply came: a write may have taken effect."""


def agent_node(service_id: ServiceId, upstream_id: UpstreamId) -> NodeId:
    """Returns the node id of the agent beside an upstream."""
    return NodeId(f"agent/{service_id}/{upstream_id}")


def balancer_node(name: str) -> NodeId:
    """Returns the node id of the balancer with a name."""
    return NodeId(f"balancer/{name}")
