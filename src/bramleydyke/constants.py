"""Limits, intervals and timeouts of the sheet mode.

Names that end in ``_S`` are in seconds, ``_BYTES`` in bytes and ``_PER_S`` per
second; the others are counts or ratios.
"""

from __future__ import annotations

WIRE_VERSION = 1
"""Protocol version in each frame between nodes; other versions are refused."""

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""Largest frame that is accepted from a link between two nodes."""

MAX_DATAGRAM_BYTES = 60_000
"""Largest datagram that is sent or accepted."""

MAX_PACKET_BYTES = MAX_DATAGRAM_BYTES - 1_000
"""Largest datagram of a flow; 1,000 bytes remain for the enclosing message."""

MAX_CANDIDATES = 4
"""Agents considered for a request: one gets the offer, the others are probed.

Two candidates raise the imbalance; more than four hardly lower the wait.
"""

PROBE_FROM_BACKLOG = 0.1
"""Estimated backlog from which the offer and the probes are sent together.

Below it, probes are sent only after a refusal: at half load that saves a
quarter of the messages.
"""

PROBE_TIMEOUT_S = 0.025
"""Wait for backlog reports: two round trips between zones of a region.

The later definition of the same name in this module replaces this value.
"""

IDLE_FANOUT = 2
"""Other agents that an agent with a free slot asks for a queued request."""

QUEUE_PER_SLOT = 256
"""Requests that an agent queues for each slot of its upstream.

This limits the memory. The deadline limits the wait: an agent refuses a
request at once if the expected wait is longer. With 8 requests, services at
95% load refused requests that could have been answered in time while one
upstream drained.
"""

REQUEST_TIMEOUT_S = 30.0
"""Time to the deadline of a request whose caller gives none."""

MAX_REQUEST_TIMEOUT_S = 30.0
"""Longest time to the deadline that a caller may ask for.

``RECORD_RETENTION_S`` relies on it.
"""

MIN_CALLER_RETRY_S = 1.0
"""Shortest time after which callers send a request again."""

PAUSE_THRESHOLD_S = 0.5
"""Gap between two events above which a process counts as having been paused.

A caller's message may have waited unnoticed for this long, so the balancer
treats a request as a first attempt only for ``MIN_CALLER_RETRY_S`` minus
this time.
"""

CALLER_RETRY_HORIZON_S = 60.0
"""Longest time after its deadline at which callers repeat a request id."""

RECORD_RETENTION_S = 120.0
"""Time for which the record of a completed request is kept.

It covers ``MAX_REQUEST_TIMEOUT_S`` and ``CALLER_RETRY_HORIZON_S`` together.
"""

REPLAY_BYTES = 16 * 1024 * 1024
"""Responses that an agent keeps in memory for repeated requests."""

QUEUE_MARGIN_S = 0.05
"""Time before its deadline at which a queued request is refused.

The refusal reaches the balancer before the deadline, at which the balancer
would have to report an unknown outcome; a round trip between zones takes
10 ms.
"""

OFFER_TIMEOUT_S = 0.15
"""Wait for the reply to an offer before the same agent is asked again."""

FIRST_REPEAT_S = 0.03
"""Wait before the first repeat of an offer: three round trips between zones.

A lost offer delays the request by this time. Repeats are idempotent, so a
reply that is only late costs one additional message.
"""

ACCEPTED_POLL_S = 1.0
"""Interval at which an offer is repeated to the agent that accepted it."""

MAX_UNANSWERED_OFFERS = 3
"""Unanswered offers before an idempotent request goes to another agent."""

BACKOFF_BASE_S = 0.02
"""First delay before the next round of offers after all candidates refused."""

BACKOFF_CAP_S = 1.0
"""Longest delay between rounds of offers."""

RETRY_RATIO = 0.2
"""Retries that a service may make, as a ratio of its requests."""

RETRY_FLOOR_PER_S = 5.0
"""Retries per second that are allowed even without other requests."""

RETRY_WINDOW_S = 10.0
"""Time window over which requests count towards the retry budget."""

LOAD_DECAY_S = 0.2
"""Time constant of the decay of a reported backlog's weight."""

MAX_PREVIOUS_OWNER_SETS = 8
"""Previous sets of upstreams of a service that are kept to look up its flows.

A flow may still be at the upstream that a previous set assigned to it.
"""

HOME_MIN_AGE_S = 10.0
"""Age at which a newly declared upstream may be the home of keyed requests.

The home of an idempotency key is the agent that remembers its requests. A
process that does not know the upstream yet would not look there for the
record of a repeated request.
"""

QUERY_TIMEOUT_S = 0.5
"""Wait for record replies from the other agents of a service."""

HEARTBEAT_S = 1.0
"""Interval of heartbeats to the home balancers.

Their number is ``HOME_BALANCERS_PER_NODE``.
"""

SUSPECT_AFTER_S = 3.0
"""Time without a heartbeat after which a home balancer suspects an agent."""

DRAIN_NOTICE_S = 3.0
"""Time after its notice from which a leaving upstream gets no new work."""

DRAINED_HEARTBEATS = 5
"""Consecutive heartbeats without work after which an upstream has drained.

Balancers may send new work for ``DRAIN_NOTICE_S`` after the notice.
"""

HEALTH_FLOOR = 0.5
"""Fraction of a service's upstreams that stays in use despite bad health."""

CHANGE_FANOUT = 4
"""Peers to which a balancer forwards a change immediately."""

ANTI_ENTROPY_S = 2.0
"""Interval at which a balancer compares its state with one random peer."""

WATCHERS_PER_ZONE = 2
"""Balancers in each availability zone that watch the platform's objects."""

MAX_PACKET_AGE_S = 60.0
"""Longest time for which a message between nodes can be in transit."""

MAX_DELTA_PART_BYTES = 48_000
"""Size of the entries of a configuration delta in one datagram."""

SECOND_PUSH_DELAY_S = 0.3
"""Delay before a new configuration is pushed a second time.

One push to ``CHANGE_FANOUT`` peers misses about 2% of the balancers, two miss
less than 0.1%; anti-entropy reaches the rest.
"""

DELTA_TIMEOUT_S = 0.5
"""Wait for a requested delta before another peer is asked."""

HOME_BALANCERS_PER_NODE = 2
"""Home balancers of each node: they receive its heartbeats.

Two are needed: one suspects the node, the other one confirms it.
"""

GOSSIP_DELAY_S = 0.2
"""Time for which membership changes are collected before they are sent."""

VIEW_RESEND_S = 5.0
"""Interval at which a home balancer resends a view that was not taken.

The two home balancers may have different views for a moment; without a limit
each heartbeat would be answered with all members of the zone.
"""

MEMBERS_PER_DELTA = 300
"""Announcements in one datagram, about 130 bytes each."""

MEMBERS_PER_GOSSIP = 5
"""Announcements that a balancer forwards in one batch.

At 130 bytes each, with ``CHANGE_FANOUT`` copies every ``GOSSIP_DELAY_S`` and
as many received, more would exceed 28 KB/s.
"""

MEMBERS_PER_BULK = 1_200
"""Announcements that a joining process receives in one round trip.

About 160 KB, which fits into the default receive buffer of a UDP socket; 4,350
members take four round trips.
"""

MEMBER_BUCKETS = 256
"""Hash buckets in the digest of the membership.

The digest has 1 KB; of 4,350 members, 17 are in each bucket.
"""

BUCKETS_PER_EXCHANGE = 4
"""Differing buckets that two peers synchronise in one exchange."""

HOME_SILENT_S = 1.5
"""Time without a reply after which a node adds another home balancer.

That is two heartbeats without a reply. The silent home balancer still gets
heartbeats, so that a lost message costs one heartbeat to a third balancer and
nothing else.
"""

HOME_REPLACEMENT_S = 10.0
"""Time for which another balancer replaces a home balancer without replies."""

MEMBER_RETENTION_S = 600.0
"""Time after which the entry of a stopped member is deleted."""

LEASE_DURATION_S = 15.0
"""Validity of a lease, counted from when its holder sent the write."""

LEASE_MARGIN_S = 1.0
"""Additional wait before others take a lease, as clock rates differ."""

LEASE_RENEW_S = 5.0
"""Interval at which a holder renews its lease."""

LEASE_POLL_S = 7.5
"""Longest interval at which a candidate reads a lease of another holder."""

LEASE_CANDIDATES = 3
"""Balancers of a zone that check whether a lease has expired."""

PLATFORM_TIMEOUT_S = 5.0
"""Wait for the platform's reply to a read or write."""

WATCH_WAIT_S = 30.0
"""Time for which a watch request stays open at the platform."""

STORE_BACKOFF_BASE_S = 1.0
"""First delay after a failed platform call."""

STORE_BACKOFF_CAP_S = 15.0
"""Longest delay between platform calls for one watch or lease."""

DRAIN_RESEND_S = 0.5
"""Interval at which a drain order is resent until it is acknowledged."""

STATUS_INTERVAL_S = 5.0
"""Interval at which the status of a zone is computed."""

STATUS_CHANGED_S = 60.0
"""Mean interval of status writes for a zone that changes all the time.

At the target size, nine zones make nine writes a minute.
"""

STATUS_BURST = 3.0
"""Consecutive status writes that a zone may make after a quiet period."""

STATUS_UNCHANGED_S = 300.0
"""Interval of status writes for a zone while nothing changes."""

STATUS_COLLECT_S = 1.0
"""Time in which the balancers of a zone must answer a status query."""

MAX_STATUS_NAMES = 200
"""Longest list of upstream names in the status of a zone."""

MAX_HOPS = 12
"""Agents that may forward a datagram: all lookups and some refusals."""

AGENT_FLOWS = 2_000
"""Largest number of datagram flows at an agent.

Upstreams accept 2,000 connections.
"""

FLOW_IDLE_S = 600.0
"""Time without a packet after which a datagram flow ends."""

FLOW_WIDE_LOOKUP_S = 10.0
"""Time after its start in which an agent looks up flows at more upstreams.

It asks the first ``WIDE_LOOKUPS`` of the owner order, the ranking of the
upstreams by rendezvous hashing, because others may have admitted flows in its
absence. Later it asks only the first of them. At any time it also asks the
first owner in each of the kept previous sets.
"""

FLOW_READMIT_DELAY_S = 30.0
"""Time for which an agent rejects a flow that was silent at its upstream."""

MIN_UNANSWERED_PACKETS = 4
"""Unanswered packets after which a flow may count as silent."""

FLOW_SILENT_S = 3.0
"""Time without an answer after which a flow may count as silent."""

MAX_REBINDS = 2
"""Times that a silent flow gets a new upstream socket before it is ended."""

PROBE_TIMEOUT_S = 0.5
"""Wait for the reply to a probe; the value in force for all probes."""

PROBE_TRIES = 3
"""Unanswered probes after which a process counts as silent."""

PROBES_PER_S = 100.0
"""Rate limit of flow probes for each partner at a balancer; about 6 KB/s."""

STREAM_WINDOW_BYTES = 256 * 1024
"""Longest run of unacknowledged bytes in one direction of a stream."""

STREAM_SEGMENT_BYTES = 16 * 1024
"""Largest segment of a stream in one message."""

STREAM_RESEND_S = 0.3
"""First retransmission timeout; it doubles up to ``STREAM_RESEND_CAP_S``."""

STREAM_RESEND_CAP_S = 2.0
"""Longest retransmission timeout of a stream."""

STREAM_KEEPALIVE_S = 10.0
"""Interval of keepalive messages on an idle stream."""

STREAM_SILENT_S = 30.0
"""Time without a message from the peer after which a stream is reset."""

STREAM_OPEN_S = 10.0
"""Timeout for opening a stream at an agent."""

AGENT_STREAMS = 2_000
"""Largest number of byte streams at an agent."""

MAX_DRAINED_NAMES = 20
"""Longest list of drained upstreams in a status reply of one datagram."""
