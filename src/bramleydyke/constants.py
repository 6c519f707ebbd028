"""Defaults, each with its unit in the name or beside it."""

from __future__ import annotations

WIRE_VERSION = 1
"""Version in each frame between own processes; others are refused."""

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""Largest frame that is accepted from a link."""

MAX_DATAGRAM_BYTES = 60_000
"""Largest datagram that is sent or accepted."""

MAX_PACKET_BYTES = MAX_DATAGRAM_BYTES - 1_000
"""Largest datagram of a flow; the rest is for the message around it."""

CHAIN_LENGTH = 4
"""Candidates of a round: one gets the offer, the others are probed.

Two candidates raise the imbalance, more than four hardly lower the wait.
"""

PROBE_FROM_BACKLOG = 0.1
"""Estimated backlog from which an offer and the probe go out together.

Below it the probe waits for a refusal: at half load that saves a quarter of
the messages.
"""

PROBE_TIMEOUT_S = 0.025
"""Wait for backlog reports: two round trips between zones of a region."""

IDLE_FANOUT = 2
"""Other agents that an agent with a free slot asks for a queued request."""

QUEUE_PER_SLOT = 256
"""Requests that an agent queues for each slot of its upstream.

Bounds the memory. The deadline bounds the wait: an agent refuses at once when
the expected wait is longer. With 8, services at 95% load refused requests
while one upstream drained that could have been answered in time.
"""

REQUEST_TIMEOUT_S = 30.0
"""Deadline of a request whose caller gives none."""

MAX_REQUEST_TIMEOUT_S = 30.0
"""Longest deadline that a caller may ask for; the retention relies on it."""

FIRST_ATTEMPT_VALID_S = 1.0
"""Callers repeat a request no sooner than this after they sent it."""

STALL_S = 0.5
"""Gap between two events of a process after which it was paused.

A caller's message can have waited for that long unnoticed, so the balancer
trusts a first attempt for ``FIRST_ATTEMPT_VALID_S`` less this.
"""

CALLER_RETRY_HORIZON_S = 60.0
"""Callers repeat a request id no later than this after its deadline."""

RECORD_RETENTION_S = 120.0
"""How long an ended request is remembered: deadline and retry horizon."""

REPLAY_BYTES = 16 * 1024 * 1024
"""Bytes of ended answers that an agent keeps for repeated requests."""

QUEUE_MARGIN_S = 0.05
"""Time before its deadline at which a queued request is refused.

The refusal reaches the placer before the deadline at which the placer would
have to report an unknown outcome; a round trip between zones takes 10 ms.
"""

OFFER_TIMEOUT_S = 0.15
"""Wait for the reply to an offer before the same agent is asked again."""

FIRST_REPEAT_S = 0.03
"""Wait before the first repeat of an offer: three round trips between zones.

A lost offer delays the request by this. Repeats are idempotent, so a reply
that is merely late costs one more message.
"""

ACCEPTED_POLL_S = 1.0
"""Interval at which the agent of an accepted request is asked again."""

SILENT_OFFERS = 3
"""Unanswered offers after which an idempotent request moves on."""

BACKOFF_BASE_S = 0.02
"""First delay between rounds of offers when all candidates refused."""

BACKOFF_CAP_S = 1.0
"""Longest delay between rounds of offers."""

RETRY_RATIO = 0.2
"""Share of a service's requests that may be retries."""

RETRY_FLOOR_PER_S = 5.0
"""Retries a second that are allowed whatever the load."""

RETRY_WINDOW_S = 10.0
"""Time over which the retry budget is filled."""

LOAD_DECAY_S = 0.2
"""Time constant after which a reported backlog has lost most of its weight."""

EARLIER_SETS = 8
"""Earlier owner sets of a service that are kept for lookups of its flows."""

HOME_DELAY_S = 10.0
"""Age at which a newly declared upstream may be the home of keyed requests.

Until every process knows the upstream, a repetition that reaches a process
which does not would not be looked for there.
"""

QUERY_TIMEOUT_S = 0.5
"""Wait for record replies from the other agents of a service."""

HEARTBEAT_S = 1.0
"""Interval of an agent's heartbeats to its home balancers."""

SUSPECT_AFTER_S = 3.0
"""Silence after which a home balancer suspects an agent."""

DRAIN_NOTICE_S = 3.0
"""A leaving upstream gets no new work later than this after the notice."""

DRAINED_HEARTBEATS = 5
"""Heartbeats in a row without work after which an upstream has drained.

Balancers may send new work for ``DRAIN_NOTICE_S`` after the notice.
"""

HEALTH_FLOOR = 0.5
"""Share of a service's upstreams that stays in use in any case."""

FANOUT = 4
"""Peers that a balancer tells of news at once."""

ANTI_ENTROPY_S = 2.0
"""Interval at which a balancer compares its state with one random peer."""

WATCHERS_PER_ZONE = 2
"""Balancers in each availability zone that watch the platform."""

MAX_PACKET_AGE_S = 60.0
"""Longest time that a message between own processes can be on its way."""

MAX_DELTA_PART_BYTES = 48_000
"""Entries of a configuration delta in one datagram."""

PUSH_AGAIN_S = 0.3
"""Time after which news of a configuration is pushed a second time.

One push to ``FANOUT`` peers misses about 2% of the balancers, two miss less
than 0.1%; the rest waits for the anti-entropy.
"""

DELTA_TIMEOUT_S = 0.5
"""Wait for a requested delta before another peer is asked."""

HOMES = 2
"""Home balancers of an agent or balancer: one suspects, one confirms."""

SPREAD_DELAY_S = 0.2
"""Changes of members are collected for this long before they are spread."""

VIEW_RESEND_S = 5.0
"""Interval at which a home repeats a view that an agent does not take.

The other home may hold another view for a moment; without a limit each
heartbeat would be answered with all members of the zone.
"""

MEMBERS_PER_DELTA = 300
"""Announcements in one datagram, about 130 bytes each."""

NEWS_PER_FLUSH = 5
"""Announcements that a balancer spreads at once.

With 130 bytes, ``FANOUT`` copies every ``SPREAD_DELAY_S`` and as many
received, more would exceed 28 KB/s.
"""

MEMBERS_PER_BULK = 1_200
"""Announcements that a process that has joined gets at once.

About 160 KB, which the default receive buffer of a UDP socket holds; 4,350
members take four round trips.
"""

MEMBER_BUCKETS = 256
"""Buckets of the members' digest: 1 KB, 17 of 4,350 members in each."""

BUCKETS_PER_EXCHANGE = 4
"""Differing buckets that are repaired in one exchange between two peers."""

HOME_SILENT_S = 1.5
"""Time without a reply after which a process uses another home as well.

Two heartbeats without a reply; the silent home still gets heartbeats, so that
a lost message costs one heartbeat to a third balancer and nothing else.
"""

AVOID_HOME_S = 10.0
"""Time for which a home balancer that did not reply is replaced."""

MEMBER_RETENTION_S = 600.0
"""Time after which a member that is gone is forgotten."""

LEASE_DURATION_S = 15.0
"""Time for which a lease is valid after the write that took it was sent."""

LEASE_MARGIN_S = 1.0
"""Others wait this much longer: clocks do not run at the same rate."""

LEASE_RENEW_S = 5.0
"""Interval at which a holder renews its lease."""

LEASE_LOOK_S = 7.5
"""Interval at which a candidate reads a lease that another one holds."""

LEASE_CANDIDATES = 3
"""Balancers of a zone that look whether a lease is vacant."""

PLATFORM_TIMEOUT_S = 5.0
"""Wait for the platform's reply to a read or write."""

WATCH_WAIT_S = 30.0
"""Time for which a watch stays pending at the platform."""

STORE_BACKOFF_BASE_S = 1.0
"""First delay after a failed platform call."""

STORE_BACKOFF_CAP_S = 15.0
"""Longest delay between platform calls of one watch or lease."""

DRAIN_RESEND_S = 0.5
"""Interval at which an unacknowledged drain order is sent again."""

STATUS_LOOK_S = 5.0
"""Interval at which a zone's status is computed."""

STATUS_CHANGED_S = 60.0
"""Mean interval between status writes of a zone that always changes.

At the target nine zones make nine writes a minute.
"""

STATUS_BURST = 3.0
"""Status writes that a zone may make one after another after a quiet time."""

STATUS_UNCHANGED_S = 300.0
"""Interval of status writes of a zone while nothing changes."""

STATUS_COLLECT_S = 1.0
"""Time that the balancers of a zone have to answer a status query."""

STATUS_NAMES = 200
"""Upstreams that a zone's status names in each list."""

MAX_HOPS = 12
"""Agents that may pass one datagram on: all lookups and some refusals."""

AGENT_FLOWS = 2_000
"""Datagram flows that an agent holds; the upstreams take 2,000 connections."""

FLOW_IDLE_S = 600.0
"""Time without a packet after which a datagram flow is over."""

FLOW_SETTLE_S = 10.0
"""Time after its start in which an agent asks the whole owner order."""

FLOW_AVOID_S = 30.0
"""Time in which an agent does not admit a flow again that was silent there."""

SILENT_PACKETS = 4
"""Unanswered packets after which a flow may be silent."""

FLOW_SILENT_S = 3.0
"""Time without an answer after which a flow may be silent."""

MAX_REBINDS = 2
"""New upstream sockets that a silent flow gets before it is ended."""

PROBE_TIMEOUT_S = 0.5
"""Wait for the reply to a probe."""

PROBE_TRIES = 3
"""Unanswered probes after which a process counts as silent."""

PROBES_PER_S = 100.0
"""Flow probes a second of one partner at a balancer; about 6 KB/s."""

STREAM_WINDOW_BYTES = 256 * 1024
"""Unacknowledged bytes of one direction of a stream."""

STREAM_SEGMENT_BYTES = 16 * 1024
"""Largest piece of a stream in one message."""

STREAM_RESEND_S = 0.3
"""First wait for an acknowledgement; it doubles up to the cap."""

STREAM_RESEND_CAP_S = 2.0
"""Longest wait for an acknowledgement."""

STREAM_KEEPALIVE_S = 10.0
"""Interval at which an idle stream is probed."""

STREAM_SILENT_S = 30.0
"""Silence of the other side after which a stream is reset."""

STREAM_OPEN_S = 10.0
"""Time in which a stream must find an agent."""

AGENT_STREAMS = 2_000
"""Byte streams that an agent holds."""

DRAINED_NAMES = 20
"""Drained upstreams that a balancer names; its reply is one datagram."""
