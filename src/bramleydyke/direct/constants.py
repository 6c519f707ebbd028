"""Timeouts, limits and intervals of the direct mode.

In this mode upstreams answer callers directly (direct server return). Names
that end in ``_S`` are in seconds.

An opening packet is the packet with which a caller opens a flow, like a SYN
in TCP. While no upstream can accept the flow, the balancer parks the packet,
that is, keeps it to offer it again later.
"""

from __future__ import annotations

# Opening new flows and looking up the holders of open ones.

OPENING_RETRY_S = 0.045
"""Minimum wait for an agent's answer before another agent is asked.

Four times the round trip between zones of a region, and well below the 200 ms
after which callers retransmit an opening packet.
"""

MAX_OPENING_RETRY_S = 0.4
"""Maximum wait for an agent's answer, used on slow links."""

REQUESTS_PER_SLOT = 2
"""Maximum number of unanswered requests per slot of an upstream.

The second request keeps the slot busy during the round trip between the
acceptance of a flow and its request. Further requests wait in the queue of the
agent, which can still reorder them.
"""

QUEUE_S = 0.25
"""Maximum wait of an opening packet in the queue of one agent.

The balancer then offers the packet to another agent, so that a slow upstream
does not delay the flow while others have capacity. The wait is short enough
for the latency that callers expect.
"""

MAX_QUEUED = 64
"""Maximum number of opening packets in the queue of one agent."""

MAX_BUSY_ANSWERS = 2
"""Refusals for lack of capacity after which an agent may queue the packet."""

OPEN_FLOW_LOAD = 0.1
"""Load of an open flow without an unanswered request.

A flow with an unanswered request counts as 1. Long flows send few requests,
but they cannot move to another upstream later.
"""

COLD_FACTOR = 1.6
"""Factor by which requests take longer just after an upstream's start."""

LOAD_DECAY_S = 0.2
"""Age at which a reported number of requests is ignored.

Until then its weight decreases linearly with its age.
"""

MAX_REQUEST_AGE_S = 3.0
"""Age at which an unanswered request of an open flow is ignored."""

MAX_OPENING_AGE_S = 0.06
"""Age at which the request of a flow that is not open yet is ignored.

Four times the round trip between a caller and an upstream of another zone.
Callers that have given up, or that opened the flow at another upstream, never
complete it here.
"""

MAX_OPENING_TRIES = 5
"""Maximum number of agents asked before an opening packet is parked."""

CANDIDATES = 3
"""Number of upstreams, in rendezvous order, that may get a new flow.

The least loaded of them gets it.
"""

LOOKUP_STAGE_S = 0.04
"""Wait for answers to a lookup before its next stage asks more agents."""

MAX_LOOKUP_AGENTS = 512
"""Maximum number of agents for a lookup that covers all services.

With more agents, a lookup asks only those of the services that may hold the
flow, and a flow that is not found is never considered dead.
"""

LOOKUP_BATCH_S = 0.005
"""Time for which queries to one agent are collected into one message.

Half a round trip. After a restart of many processes, each balancer looks up
hundreds of flows.
"""

MAX_FLOWS_PER_QUERY = 48
"""Maximum number of flows in one query.

Each takes 20 of the 1,400 bytes of a datagram.
"""

MAX_SINGLE_STAGE_AGENTS = 16
"""Maximum number of agents that a lookup asks in a single stage.

Answers may come from another zone, so a second stage would cost a round trip
between zones.
"""

MAX_EARLY_PROBES = 2
"""Maximum number of upstreams probed before all agents were asked.

A flow counts as broken once its packets reach three upstreams that do not hold
it.
"""

PARK_S = 1.2
"""Maximum age of an opening packet that no upstream accepted.

The flow is then refused. Callers give up after 1.4 s, or after the timeout of
their route if that is shorter.
"""

OPENING_COPY_AGES_S = (0.0, 0.2, 0.6)
"""Age of an opening packet and of its retransmissions when they are sent."""

PARK_RETRY_S = 0.1
"""Interval at which a balancer offers a parked packet to agents again."""

MAX_PARKED = 512
"""Maximum number of parked opening packets at one balancer."""

LOOKUP_LAST_STAGE_S = 0.12
"""Wait for answers to the last stage of a lookup; then the lookup ends.

Shorter than the callers' minimum retransmission interval of 200 ms, so that
the next retransmission starts a new lookup.
"""

MAX_HELD_PACKETS = 32
"""Maximum number of packets that wait for a lookup; a send window has 16."""

SEQUENCE_WINDOW = 76_800
"""Maximum distance of an acknowledgement from the first sequence number.

In bytes: four send windows of 16 packets of 1,200 bytes.
"""

# Sizes of tables.

MAX_FLOWS = 200_000
"""Maximum number of flows that a balancer remembers.

Well above the average of 5.6 million flows on 550 nodes.
"""

MAX_ABSENT = 20_000
"""Maximum number of flows that an agent records as not held."""

MAX_PROBES = 1_000
"""Number of unanswered probes above which an agent discards all of them."""

FLOW_IDLE_S = 60.0
"""Idle time after which a flow is removed; callers close it earlier."""

# Suspicion of agents and upstreams that do not answer.

SUSPECT_S = 1.0
"""Time for which an agent that did not answer gets no new flows.

It doubles with each further consecutive failure.
"""

MAX_SUSPECT_S = 4.0
"""Maximum of ``SUSPECT_S`` after doubling."""

DEAD_AGENT_S = 4.0
"""Minimum silence after which an agent is considered dead and its flows lost.

An agent restarts within two seconds and announces its upstream when it
receives the next report. For routes with a longer timeout, the silence must
last as long: requests may still be running until then.
"""

MIN_ANSWERED_SHARE = 0.5
"""Share of the asked agents that must answer before a flow is reset.

With fewer, this balancer is more likely cut off than all of them dead.
"""

DEAD_AGENT_FAILURES = 2
"""Consecutive unanswered messages before an agent is considered dead."""

AGENT_CHECK_S = 1.0
"""Interval at which a balancer asks an agent that has not answered."""

MAX_AGENT_CHECKS = 128
"""Maximum number of agents that a balancer asks at each interval.

Those that were asked longest ago come first.
"""

MAX_SILENCE_GAP_S = 2.5
"""Maximum time between two unanswered messages of one silence.

In a longer gap the agent may have been running without being asked. Two
intervals of ``AGENT_CHECK_S`` and the time for an answer.
"""

UPSTREAM_SILENT_S = 0.15
"""Wait for an upstream's answer to an opening packet.

The upstream then counts as silent. Upstreams answer within a millisecond, so
only one that hangs takes longer.
"""

LOST_REPORTS = 3.0
"""Report intervals without a report after which an upstream is silent."""

# Exchange of state among balancers, and announcements of agents.

NOTICE_INTERVAL_S = 0.25
"""Interval at which a balancer sends its configuration version to others."""

NOTICE_FANOUT = 3
"""Number of balancers that get each periodic version notice."""

CHANGE_FANOUT = 6
"""Number of balancers that are notified at once of a new configuration.

An announcement that changes the state of an upstream is relayed to as many.
"""

ANNOUNCE_FANOUT = 8
"""Number of balancers to which an agent announces its upstream."""

ANNOUNCE_INTERVAL_S = 1.0
"""Interval of an agent's announcements when nothing changes."""

LIVE_PEER_S = 2.0
"""Time after its last notice for which a balancer counts as running."""

PEER_IDLE_S = 10.0
"""Time without a notice after which a balancer gets fewer notices."""

MAX_CONFIG_AGE_S = 1.0
"""Maximum age of the store's confirmation of the configuration.

A flow without a route is refused only while the confirmation is younger. A
watch may miss changes for a second, and changes must be in force after 3 s.
"""

MAX_PAUSE_S = 1.0
"""Time without any event after which a balancer counts as having been paused.

Its timers are due every ``NOTICE_INTERVAL_S``.
"""

# Store.

STORE_TIMEOUT_S = 1.5
"""Timeout of a call to the store, which usually takes milliseconds."""

WATCH_WAIT_S = 10.0
"""Maximum time that the store keeps a watch open without a change.

If a connection breaks unnoticed, changes are delayed for as long. Each kind of
object therefore has a second path: polls and notices for the configuration,
announcements for upstreams.
"""

BALANCER_LIST_S = 10.0
"""Interval at which a balancer lists the balancers in the store.

It also learns of them by their notices.
"""

CONFIG_PAUSE_S = 0.3
"""Pause of the configuration watch after a change.

When changes are frequent, the next call then returns several versions at once,
of which only the last matters. A tenth of the 3 s that a change may take.
"""

UPSTREAM_PAUSE_S = 3.0
"""Pause of the upstream watch after a change; agents also announce it."""

CONFIG_POLL_S = 1.0
"""Minimum interval of configuration polls, which run beside the watch.

A watch may miss a change for seconds. A third of the 3 s that a change may
take.
"""

CONFIG_POLL_PER_PEER_S = 0.4
"""Average time between configuration polls of all balancers together.

Each balancer polls at this interval multiplied by the number of running
balancers.
"""

POLLS_PER_FULL_POLL = 4
"""One in this many polls reads the full configuration, not just changes."""

SNAPSHOT_TIMEOUT_S = 3.0
"""Timeout for fetching another balancer's configuration.

Some links have 5 Mbit/s.
"""

STORE_BACKOFF_BASE_S = 0.1
"""Pause after the first failed call to the store; it grows exponentially."""

STORE_BACKOFF_CAP_S = 1.0
"""Maximum pause between failed calls to the store.

Half of the time in which a node must recover.
"""

ENTRY_EXPIRY_S = 120.0
"""Silence of a VM after which its entry is removed from the store.

A balancer also removes an upstream from its directory this long after the
upstream has ended.
"""

LOST_ENTRY_S = 2.0
"""Time after a restore of the store in which lost entries are written again.

Until then the entries in the store are incomplete.
"""

LOST_ENTRY_CHECK_S = 0.4
"""Interval at which balancers look for lost entries in that time."""

# Shutdown.

BALANCER_LINGER_S = 1.25
"""Time for which a stopping balancer still forwards packets.

The routers stop using a balancer after two failed readiness checks, 0.5 s
apart. With a longer time, the outages of balancers that restart one after
another overlap, so that fewer balancers are ready at a time. If fewer than
half of a zone's balancers are ready, the routers use all of them, including
those that are down.
"""

AGENT_LINGER_S = 0.25
"""Grace period in which short flows can end when an agent stops."""
