"""Timeouts, limits and intervals of the direct mode.

Names that end in ``_S`` are in seconds.
"""

from __future__ import annotations

# Opening new flows and looking up the holders of open ones.

OPENING_RETRY_S = 0.045
"""Shortest wait for an agent's answer before another agent is asked.

Four times the round trip between zones of a region, and well below the 200 ms
after which callers repeat an opening packet.
"""

MAX_OPENING_RETRY_S = 0.4
"""Longest such wait, for links on which answers take longer."""

REQUESTS_PER_SLOT = 2
"""Unanswered requests that an upstream may have for each of its slots.

The second request keeps the slot busy during the round trip between the
acceptance of a flow and its request. Further ones wait at the agent, which can
still reorder them.
"""

QUEUE_S = 0.25
"""Longest wait of an opening packet in the queue of one agent.

The balancer then offers it to another agent, so that a slow upstream does not
delay it while others have room. Short enough for the latency that callers
expect.
"""

MAX_QUEUED = 64
"""Maximum number of opening packets in the queue of one agent."""

MAX_BUSY_ANSWERS = 2
"""Answers of agents without room after which the next one may queue it."""

OPEN_FLOW_LOAD = 0.1
"""Load of an open flow without a request; one with a request counts as 1.

Long flows send few requests, but they cannot move to another upstream later.
"""

COLD_FACTOR = 1.6
"""Factor by which requests take longer just after an upstream's start."""

LOAD_DECAY_S = 0.2
"""Age at which a reported number of requests no longer counts.

Until then it counts less the older it is.
"""

MAX_REQUEST_AGE_S = 3.0
"""Age at which an unanswered request of an open flow no longer counts."""

MAX_OPENING_AGE_S = 0.06
"""Age at which a flow that is not open yet no longer counts as a request.

Four times the round trip between a caller and an upstream of another zone.
The limit is for callers that never complete the flow here because they have
given up or opened it at another upstream.
"""

MAX_OPENING_TRIES = 5
"""Agents that are asked before an opening packet is parked."""

CANDIDATES = 3
"""First upstreams in a flow's owner order; the least loaded gets the flow."""

LOOKUP_STAGE_S = 0.04
"""Wait for answers to a lookup before more agents are asked."""

MAX_LOOKUP_AGENTS = 128
"""Agents up to which a lookup also asks those of all other services.

Above it, a flow that is not found is never taken for dead.
"""

LOOKUP_BATCH_S = 0.005
"""Time for which queries to one agent are collected, half a round trip.

After a restart of many processes each balancer looks up hundreds of flows.
"""

MAX_FLOWS_PER_QUERY = 48
"""Flows in one query. Each takes 20 bytes of a datagram's 1,400."""

MAX_SINGLE_STAGE_AGENTS = 16
"""Agents up to which a lookup asks all of them in a single stage.

An answer may cross zones, so stages would cost a round trip between zones.
"""

MAX_EARLY_PROBES = 2
"""Upstreams that may be probed before all agents were asked about a flow.

A flow counts as broken once its packets reach three wrong upstreams.
"""

PARK_S = 1.2
"""Age at which an opening packet that no upstream took is refused.

Callers give up on a flow after 1.4 s.
"""

PARK_RETRY_S = 0.1
"""Interval at which a balancer tries to place a parked packet."""

MAX_PARKED = 512
"""Maximum number of parked opening packets at one balancer."""

LOOKUP_LAST_STAGE_S = 0.12
"""Wait for answers to the last stage of a lookup before it ends.

It is below the callers' shortest retransmission interval of 200 ms, so that
the next copy starts a new lookup.
"""

MAX_HELD_PACKETS = 32
"""Maximum number of packets that wait for a lookup; a window has 16."""

SEQUENCE_WINDOW = 76_800
"""Largest distance of an acknowledgement from the first sequence number.

In bytes: four windows of 16 packets of 1,200 bytes.
"""

# Sizes of tables.

MAX_FLOWS = 200_000
"""Maximum number of flows that a balancer remembers.

More than its share of 5.6 million flows over 550 nodes.
"""

MAX_ABSENT = 20_000
"""Maximum number of flows that an agent knows its upstream does not hold."""

MAX_PROBES = 1_000
"""Number of unanswered probes beyond which an agent forgets them all."""

FLOW_IDLE_S = 60.0
"""Idle time after which a flow is forgotten; callers close it by then."""

# Suspicion of agents and upstreams that do not answer.

SUSPECT_S = 1.0
"""Time for which an agent that did not answer gets no new flows.

It doubles with each further failure in a row.
"""

MAX_SUSPECT_S = 4.0
"""Longest such time."""

DEAD_AGENT_S = 4.0
"""Silence after which an agent is taken for dead and its flows for lost.

An agent restarts within two seconds and announces its upstream with the next
report after that.
"""

DEAD_AGENT_FAILURES = 2
"""Unanswered messages in a row that an agent taken for dead must have."""

UPSTREAM_SILENT_S = 0.15
"""Wait for an upstream's answer to an opening packet; then it is silent.

Upstreams answer within a millisecond, so only one that hangs takes longer.
"""

LOST_REPORTS = 3.0
"""Number of report intervals without a report that make it silent."""

# Exchange of state among balancers, and announcements of agents.

NOTICE_INTERVAL_S = 0.25
"""Interval at which a balancer sends its configuration version to others."""

NOTICE_FANOUT = 3
"""Number of balancers that get each of these periodic notices."""

CHANGE_FANOUT = 6
"""Number of balancers that learn of a changed configuration at once.

A changed announcement goes to as many.
"""

ANNOUNCE_FANOUT = 8
"""Number of balancers to which an agent announces its upstream."""

ANNOUNCE_INTERVAL_S = 1.0
"""Interval of an agent's announcements when nothing changes."""

LIVE_PEER_S = 2.0
"""Time since its last notice for which a balancer counts as running."""

PEER_IDLE_S = 10.0
"""Silence after which a balancer gets fewer notices."""

MAX_CONFIG_AGE_S = 1.0
"""Age up to which a confirmed configuration counts as complete.

Only then is a flow without a route refused. A watch may miss changes for a
second, and changes must be in force after 3 s.
"""

# Store.

STORE_TIMEOUT_S = 1.5
"""Wait for an answer of the store, which usually takes milliseconds."""

WATCH_WAIT_S = 10.0
"""Longest time that the store keeps a watch open without a change.

A connection that silently broke delays changes for as long, so each kind of
object has a second path: polls and notices for the configuration,
announcements for upstreams.
"""

BALANCER_LIST_S = 10.0
"""Interval at which the balancers are listed, besides their own notices."""

CONFIG_PAUSE_S = 0.3
"""Pause of the configuration watch after a change.

When changes are frequent, one call then returns several versions, of which
only the last matters. A tenth of the 3 s that a change may take.
"""

UPSTREAM_PAUSE_S = 3.0
"""Pause of the upstream watch after changes; agents also announce them."""

CONFIG_POLL_S = 1.0
"""Shortest interval of polls of the configuration, besides the watch.

A watch may miss a change for seconds. A third of the 3 s that a change may
take.
"""

CONFIG_POLL_PER_PEER_S = 0.4
"""Average time between two such polls of any of the balancers.

Each balancer polls at this interval times the number of running balancers.
"""

POLLS_PER_FULL_POLL = 4
"""Number of polls of which one reads the full configuration."""

SNAPSHOT_TIMEOUT_S = 3.0
"""Wait for another balancer's configuration; some links have 5 Mbit/s."""

STORE_BACKOFF_BASE_S = 0.1
"""Pause after the first failed call to the store; it grows exponentially."""

STORE_BACKOFF_CAP_S = 1.0
"""Longest pause between failed calls: half of the allowed recovery time."""

ENTRY_EXPIRY_S = 120.0
"""Silence after which the entry of a VM is removed from the store.

A balancer also forgets an upstream this long after its end.
"""

# Shutdown.

BALANCER_LINGER_S = 1.25
"""Time for which a stopping balancer still forwards packets.

The routers need two readiness checks, 0.5 s apart, to stop using it. With a
longer time the outages of balancers that restart one after another overlap.
If fewer than half of a zone's balancers are ready, the routers use all of
them, including the one that is down.
"""

AGENT_LINGER_S = 0.25
"""Time that a stopping agent gives short flows to end."""
