"""All messages between processes, and between a role and its local ports.

A role is the balancer or agent logic of a process. Its local ports are
adapters, for example to callers, the upstream or the platform. Messages are
encoded as arrays and unknown trailing fields are skipped. New fields must be
added at the end, with a default. Import messages from this module; the modules
that define them are private.
"""

from __future__ import annotations

import msgspec

from bramleydyke._control_messages import (
    ConfigDigest,
    Count,
    DeltaRequest,
    DrainAck,
    DrainOrder,
    SetDrain,
    StatusQuery,
    StatusReply,
)
from bramleydyke._flows_messages import (
    FlowAlive,
    FlowHint,
    FlowProbe,
    FlowReset,
    PacketAnswered,
    PacketDeliver,
    PacketForward,
    PacketIn,
    PacketOut,
    PacketReturn,
)
from bramleydyke._membership_messages import (
    Announcement,
    Heartbeat,
    HeartbeatReply,
    MemberDelta,
    MemberDigest,
    MemberSummary,
    MemberVersion,
    SuspectQuery,
    SuspectReply,
)
from bramleydyke._message_base import Message
from bramleydyke._platform_messages import (
    PlatformRead,
    PlatformReply,
    PlatformWrite,
)
from bramleydyke._requests_messages import (
    Accepted,
    Answer,
    AnswerCaller,
    BacklogQuery,
    BacklogReport,
    Cancelled,
    CancelRequest,
    IdleNotice,
    Offer,
    RecordQuery,
    RecordReply,
    Refusal,
    RefuseCaller,
    RequestAbandoned,
    RequestArrived,
    RequestDone,
    RequestFailed,
    RequestShed,
    RunRequest,
    StopRequest,
)
from bramleydyke._streams_messages import (
    ConnectionAbort,
    ConnectionData,
    ConnectionEnd,
    ConnectionOpened,
    ConnectionPause,
    ConnectionReady,
    ConnectionWritten,
    OpenConnection,
    StreamAck,
    StreamClose,
    StreamData,
    StreamOpen,
    StreamOpened,
    StreamReset,
)
from bramleydyke.core.config import ConfigDelta
from bramleydyke.types import NodeId

__all__ = [
    "Accepted",
    "Announcement",
    "Answer",
    "AnswerCaller",
    "BacklogQuery",
    "BacklogReport",
    "CancelRequest",
    "Cancelled",
    "ConfigDigest",
    "ConnectionAbort",
    "ConnectionData",
    "ConnectionEnd",
    "ConnectionOpened",
    "ConnectionPause",
    "ConnectionReady",
    "ConnectionWritten",
    "Count",
    "DeltaRequest",
    "DrainAck",
    "DrainOrder",
    "Envelope",
    "FlowAlive",
    "FlowHint",
    "FlowProbe",
    "FlowReset",
    "Heartbeat",
    "HeartbeatReply",
    "IdleNotice",
    "MemberDelta",
    "MemberDigest",
    "MemberSummary",
    "MemberVersion",
    "Message",
    "Offer",
    "OpenConnection",
    "PacketAnswered",
    "PacketDeliver",
    "PacketForward",
    "PacketIn",
    "PacketOut",
    "PacketReturn",
    "Payload",
    "PlatformRead",
    "PlatformReply",
    "PlatformWrite",
    "RecordQuery",
    "RecordReply",
    "Refusal",
    "RefuseCaller",
    "RequestAbandoned",
    "RequestArrived",
    "RequestDone",
    "RequestFailed",
    "RequestShed",
    "RunRequest",
    "SetDrain",
    "StatusQuery",
    "StatusReply",
    "StopRequest",
    "StreamAck",
    "StreamClose",
    "StreamData",
    "StreamOpen",
    "StreamOpened",
    "StreamReset",
    "SuspectQuery",
    "SuspectReply",
]

Payload = Message | ConfigDelta


class Envelope(msgspec.Struct, frozen=True):
    """A message with its sender and receiver, which are nodes or local ports.

    A struct rather than a frozen dataclass, which takes several times as long
    to create: each packet needs two envelopes.
    """

    sender: NodeId
    receiver: NodeId
    payload: Payload
