"""Identifier types and enumerations that all packages share."""

from __future__ import annotations

from enum import Enum
from typing import NewType

PartnerId = NewType("PartnerId", str)
"""Organisation that uses the system and owns services."""

ServiceId = NewType("ServiceId", str)
"""Service in the form ``partner/name``, unique over all partners."""

UpstreamId = NewType("UpstreamId", str)
"""Upstream name from the sheet, unique within its service."""

NodeId = NewType("NodeId", str)
"""Process such as ``balancer/b1``, or local port such as ``local/caller``.

A local port is an adapter in the same process, not a network port.
"""

AvailabilityZone = NewType("AvailabilityZone", str)
"""Availability zone; the sheets call it a place."""

ServiceAddress = NewType("ServiceAddress", str)
"""Address at which callers reach a service, as ``ip:port``."""

CallerAddress = NewType("CallerAddress", str)
"""Source address of a caller, as ``ip:port``."""

RequestId = NewType("RequestId", str)
"""Request id: the caller's idempotency key, or made by the balancer."""

FlowId = NewType("FlowId", int)
"""64-bit hash of a datagram flow's service and caller addresses."""

StreamId = NewType("StreamId", str)
"""Byte stream between a balancer and an agent, for one TCP connection."""

Generation = NewType("Generation", int)
"""Version number of a partner's sheet, which the platform assigns."""

Incarnation = NewType("Incarnation", int)
"""Number of one run of a process, greater than those of its earlier runs."""

LOCAL_CALLER = NodeId("local/caller")
LOCAL_UPSTREAM = NodeId("local/upstream")
LOCAL_PLATFORM = NodeId("local/platform")
LOCAL_METRICS = NodeId("local/metrics")


class Protocol(Enum):
    """Protocol between callers and a service."""

    UDP = "udp"
    TCP = "tcp"
    HTTP = "http"


class Outcome(Enum):
    """What a caller learns about a request that has no response."""

    NOT_RUN = "not-run"
    """The upstream did not process it; it is safe to send it again."""

    UNKNOWN = "unknown"
    """The upstream may have processed it."""


class MemberState(Enum):
    """State of an agent or balancer as other nodes see it."""

    RUNNING = "running"
    DRAINING = "draining"
    SUSPECT = "suspect"
    """Its home balancers receive no heartbeats from it."""

    STOPPED = "stopped"


class RecordKnowledge(Enum):
    """What an agent knows about a request with an idempotency key."""

    NEVER = "never"
    """It was not processed here and will not be."""

    HELD = "held"
    """This agent holds the record of the request, which is in progress."""

    DONE = "done"
    """It was processed; the reply carries the response if it is still kept."""

    UNKNOWN = "unknown"
    """It may have been processed by an earlier incarnation of this agent."""


class PlatformStatus(Enum):
    """Result of a call to the platform's object API."""

    OK = "ok"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    """The object's version is not the expected one; nothing was written."""

    FORBIDDEN = "forbidden"
    UNAVAILABLE = "unavailable"
    """The call was refused or could not be sent; nothing was written."""

    LOST = "lost"
    """No reply arrived; a write may have taken effect."""


def agent_node(service_id: ServiceId, upstream_id: UpstreamId) -> NodeId:
    """Returns the node id of the agent beside an upstream."""
    return NodeId(f"agent/{service_id}/{upstream_id}")


def balancer_node(name: str) -> NodeId:
    """Returns the node id of the balancer with the given name."""
    return NodeId(f"balancer/{name}")
