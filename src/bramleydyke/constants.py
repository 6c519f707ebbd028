"""Limits, intervals and timeouts of the sheet mode (package ``core``).

In the sheet mode, services are configured by sheets in the platform's store.

Names that end in ``_S`` are in seconds, ``_BYTES`` in bytes and ``_PER_S`` per
second; the others are counts or ratios.
"""

from __future__ import annotations

WIRE_VERSION = 1
"""Protocol version in each frame; frames with another version are refused."""

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""Largest frame that a node accepts from another node."""

MAX_DATAGRAM_BYTES = 60_000
"""Largest datagram that is sent or accepted."""

MAX_PACKET_BYTES = MAX_DATAGRAM_BYTES - 1_000
"""Largest datagram of a flow; 1,000 bytes remain for the enclosing message."""

MAX_CANDIDATES = 4
"""Number of agents considered for a request in one round.

One of them gets the offer, the others are probed.

With two candidates the load is less balanced; more than four hardly reduce
the waiting time.
"""

PROBE_FROM_BACKLOG = 0.1
"""Estimated backlog per slot from which probes are sent with the first offer.

Below this backlog, probes are sent only after a refusal. At half load that
saves a quarter of the messages.
"""

BACKLOG_REPORT_TIMEOUT_S = 0.025
"""Wait for the backlog reports of agents: two round trips between zones."""

IDLE_FANOUT = 2
"""Number of agents that an agent with a free slot asks for queued requests."""

QUEUE_PER_SLOT = 256
"""Maximum queue length of an agent for each slot of its upstream.

The maximum limits memory, not waiting time: an agent refuses a request at once
if its expected wait exceeds the time to its deadline. With a maximum of 8,
services at 95% load refused requests that could have been answered in time
while one upstream drained.
"""

REQUEST_TIMEOUT_S = 30.0
"""Default timeout of a request whose caller specifies none."""

MAX_REQUEST_TIMEOUT_S = 30.0
"""Maximum request timeout; longer timeouts of callers are reduced to it.

``RECORD_RETENTION_S`` relies on this maximum.
"""

MIN_CALLER_RETRY_S = 1.0
"""Minimum time that callers wait before they retry a request."""

PAUSE_THRESHOLD_S = 0.5
"""Gap between two events above which a process is considered paused.

A shorter pause is not detected and may have delayed a caller's message. A
request therefore counts as a first attempt only until ``MIN_CALLER_RETRY_S``
minus this time after the balancer received it.
"""

CALLER_RETRY_HORIZON_S = 60.0
"""Maximum time after a request's deadline at which callers repeat its id."""

RECORD_RETENTION_S = 120.0
"""Time for which the record of a completed request is kept.

The time exceeds the sum of ``MAX_REQUEST_TIMEOUT_S`` and
``CALLER_RETRY_HORIZON_S``, after which callers no longer repeat the request.
"""

REPLAY_BYTES = 16 * 1024 * 1024
"""Maximum size of the responses that an agent keeps for repeated requests."""

QUEUE_MARGIN_S = 0.05
"""Time before its deadline at which a queued request is refused.

The refusal reaches the balancer before the deadline, at which the balancer
would have to report an unknown outcome; a round trip between zones takes
10 ms.
"""

OFFER_TIMEOUT_S = 0.15
"""Timeout for the reply to an offer, after which the offer is repeated."""

FIRST_REPEAT_S = 0.03
"""Wait before the first repeat of an offer: three round trips between zones.

A lost offer delays the request by this time. Repeats are idempotent, so a
reply that is only late costs one additional message.
"""

ACCEPTED_POLL_S = 1.0
"""Interval at which an offer is repeated to the agent that accepted it."""

MAX_UNANSWERED_OFFERS = 3
"""Unanswered offers until an idempotent request goes to another agent."""

BACKOFF_BASE_S = 0.02
"""Maximum delay before the second round of offers; doubles in each round.

A new round starts after all candidates have refused.
"""

BACKOFF_CAP_S = 1.0
"""Maximum delay between two rounds of offers."""

RETRY_RATIO = 0.2
"""Retries that are allowed for a service, as a ratio of its requests."""

RETRY_FLOOR_PER_S = 5.0
"""Retries per second that are allowed for a service regardless of its load."""

RETRY_WINDOW_S = 10.0
"""Time window over which requests count towards the retry budget."""

LOAD_DECAY_S = 0.2
"""Time constant with which a reported backlog loses its weight."""

MAX_PREVIOUS_OWNER_SETS = 8
"""Number of previous weight sets of a service that are kept.

They are used to look up flows, as a flow may still be at the upstream that a
previous set of weights assigned to it.
"""

HOME_MIN_AGE_S = 10.0
"""Minimum age of an upstream that is used as the home of keyed requests.

The age counts from the upstream's declaration. The home of an idempotency key
is the agent that keeps the record of its request. A process that does not know
the upstream yet would not look there for that record.
"""

QUERY_TIMEOUT_S = 0.5
"""Timeout for the record replies of the other agents of a service."""

HEARTBEAT_S = 1.0
"""Interval at which a node sends heartbeats to its home balancers."""

SUSPECT_AFTER_S = 3.0
"""Time without a heartbeat after which a home balancer suspects an agent."""

DRAIN_NOTICE_S = 3.0
"""Time after the start of a drain during which new work may still arrive.

Some balancers may not know of the drain yet. Once this time has passed, the
upstream gets no new work.
"""

DRAINED_HEARTBEATS = 5
"""Consecutive heartbeats without work after which an upstream is drained.

The heartbeats must span ``DRAIN_NOTICE_S``, in which new work may arrive.
"""

HEALTH_FLOOR = 0.5
"""Minimum fraction of a service's upstreams in use, whatever their health."""

CHANGE_FANOUT = 4
"""Peers to which a balancer forwards a change immediately."""

ANTI_ENTROPY_S = 2.0
"""Interval at which a balancer compares its state with a random balancer."""

WATCHERS_PER_ZONE = 2
"""Balancers per availability zone that watch the platform's objects."""

MAX_PACKET_AGE_S = 60.0
"""Maximum time that a message between nodes is assumed to be in transit."""

MAX_DELTA_PART_BYTES = 48_000
"""Maximum size of the entries of a configuration delta in one datagram."""

SECOND_PUSH_DELAY_S = 0.3
"""Delay before a new configuration is pushed a second time.

One push to ``CHANGE_FANOUT`` peers misses about 2% of the balancers, two miss
less than 0.1%; anti-entropy reaches the rest.
"""

DELTA_TIMEOUT_S = 0.5
"""Timeout for a requested delta, after which another peer is asked."""

HOME_BALANCERS_PER_NODE = 2
"""Number of home balancers of a node, which receive its heartbeats.

Two are needed so that one can confirm the other's suspicion of the node.
"""

GOSSIP_DELAY_S = 0.2
"""Time for which membership changes are collected before they are sent."""

VIEW_RESEND_S = 5.0
"""Minimum interval at which a home balancer sends an agent the same view.

A view is the hash of the members that an agent needs. If the agent's view
differs, the home balancer sends it the members. The views of the two home
balancers may differ for a short time; without the limit, each heartbeat would
be answered with all members of the zone.
"""

MEMBERS_PER_DELTA = 300
"""Maximum number of announcements in one datagram, about 130 bytes each."""

MEMBERS_PER_GOSSIP = 5
"""Maximum number of announcements that a balancer forwards in one batch.

A batch goes to ``CHANGE_FANOUT`` peers every ``GOSSIP_DELAY_S``, and as many
are received. At 130 bytes per announcement, larger batches would exceed
28 KB/s.
"""

MEMBERS_PER_BULK = 1_200
"""Maximum number of announcements that a joining process gets per round trip.

They take about 160 KB, which fits into the default receive buffer of a UDP
socket; 4,350 members take four round trips.
"""

MEMBER_BUCKETS = 256
"""Number of hash buckets in the digest of the membership.

The digest takes 1 KB; with 4,350 members, each bucket has about 17.
"""

BUCKETS_PER_EXCHANGE = 4
"""Maximum number of buckets that two peers synchronise in one exchange."""

HOME_SILENT_S = 1.5
"""Time without a reply after which a node replaces a home balancer.

At that time two heartbeats are unanswered. The silent home balancer still
gets heartbeats, so a lost message costs only one heartbeat to a third
balancer.
"""

HOME_REPLACEMENT_S = 10.0
"""Time for which another balancer replaces an unresponsive home balancer."""

MEMBER_RETENTION_S = 600.0
"""Time after which the entry of a stopped member is deleted."""

LEASE_DURATION_S = 15.0
"""Validity of a lease, counted from the time its holder sent the write."""

LEASE_MARGIN_S = 1.0
"""Additional wait before others take over a lease, as clock rates differ."""

LEASE_RENEW_S = 5.0
"""Interval at which a holder renews its lease."""

LEASE_POLL_S = 7.5
"""Maximum interval at which a candidate reads another holder's lease."""

LEASE_CANDIDATES = 3
"""Number of balancers per zone that may take over an expired lease."""

PLATFORM_TIMEOUT_S = 5.0
"""Timeout for the platform's reply to a read or write."""

WATCH_WAIT_S = 30.0
"""Time for which a watch request stays open at the platform."""

STORE_BACKOFF_BASE_S = 1.0
"""Delay after the first failed platform call."""

STORE_BACKOFF_CAP_S = 15.0
"""Maximum delay between platform calls for one watch or lease."""

DRAIN_RESEND_S = 0.5
"""Interval at which a drain order is resent until it is acknowledged."""

STATUS_INTERVAL_S = 5.0
"""Interval at which the status of a zone is computed."""

STATUS_CHANGED_S = 60.0
"""Mean interval of status writes for a zone whose status changes constantly.

At the target size, nine zones make nine writes a minute.
"""

STATUS_BURST = 3.0
"""Maximum burst of status writes for a zone after a period without changes."""

STATUS_UNCHANGED_S = 300.0
"""Interval of status writes for a zone whose status does not change."""

STATUS_COLLECT_S = 1.0
"""Timeout for the replies of a zone's balancers to a status query."""

MAX_STATUS_NAMES = 200
"""Maximum number of upstream names in each list in the status of a zone."""

MAX_HOPS = 12
"""Maximum number of agents that forward a datagram.

Enough for all lookups of a flow and some refusals to admit it.
"""

AGENT_FLOWS = 2_000
"""Maximum number of datagram flows at an agent.

Upstreams accept at most 2,000 connections.
"""

FLOW_IDLE_S = 600.0
"""Idle timeout of a datagram flow."""

FLOW_WIDE_LOOKUP_S = 10.0
"""Time after its start for which an agent looks up flows at more upstreams.

During this time the agent asks the first ``WIDE_LOOKUPS`` upstreams in the
owner order (the ranking by rendezvous hashing), as these may have admitted
flows in its absence. Later it asks only the first one. At any time it also
asks the first upstream in the owner order of each previous weight set.
"""

FLOW_READMIT_DELAY_S = 30.0
"""Time for which an agent rejects a flow that its upstream did not answer."""

MIN_UNANSWERED_PACKETS = 4
"""Minimum number of unanswered packets of a flow that is considered silent."""

FLOW_SILENT_S = 3.0
"""Minimum time without an answer of a flow that is considered silent."""

MAX_REBINDS = 2
"""Number of times that the upstream socket of a silent flow is replaced.

The flow is ended if it then is still silent.
"""

PROBE_TIMEOUT_S = 0.5
"""Timeout for the reply to a flow probe or stream opening."""

PROBE_TRIES = 3
"""Unanswered probes after which a process is considered silent."""

PROBES_PER_S = 100.0
"""Rate limit of flow probes for each partner at a balancer; about 6 KB/s."""

STREAM_WINDOW_BYTES = 256 * 1024
"""Maximum number of unacknowledged bytes in one direction of a stream."""

STREAM_SEGMENT_BYTES = 16 * 1024
"""Maximum size of a stream segment in one message."""

STREAM_RESEND_S = 0.3
"""Initial retransmission timeout; doubles up to ``STREAM_RESEND_CAP_S``."""

STREAM_RESEND_CAP_S = 2.0
"""Maximum retransmission timeout of a stream."""

STREAM_KEEPALIVE_S = 10.0
"""Interval of keepalive messages on an idle stream."""

STREAM_SILENT_S = 30.0
"""Time without a message from the peer after which a stream is reset."""

STREAM_OPEN_S = 10.0
"""Timeout for opening a stream at an agent."""

AGENT_STREAMS = 2_000
"""Maximum number of byte streams at an agent."""

MAX_DRAINED_NAMES = 20
"""Maximum number of drained upstreams in a status reply.

The reply has to fit into one datagram.
"""
