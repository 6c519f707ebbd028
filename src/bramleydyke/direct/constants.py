"""Defaults of the direct mode, each with its unit in the name or beside it."""

from __future__ import annotations

# Opening and lookup of flows.

OPENING_RETRY_S = 0.045
"""Wait for an agent's answer to an opening packet before another is asked.

Four times the round trip between zones of a region; callers repeat the packet
only after 200 ms.
"""

MAX_OPENING_RETRY_S = 0.4
"""Limit of that wait where answers take longer, as on a link that is full."""

REQUESTS_PER_SLOT = 2
"""Requests for each slot that an upstream gets at once.

The second keeps the slot busy during the round trip from the acceptance of a
flow to its request. Others wait at the agent, which can still reorder them.
"""

QUEUE_S = 0.25
"""Longest wait of an opening packet at one agent, within the callers' targets.

The balancer then offers it elsewhere, so that a slow upstream does not hold
it while others have room.
"""

MAX_QUEUED = 64
"""Opening packets that wait at one agent."""

BUSY_ANSWERS = 2
"""Agents without room that a balancer asks before the packet has to wait."""

OPEN_FLOW_LOAD = 0.1
"""Load of an open flow without a request, relative to one with a request.

Long flows send few requests, but they cannot be moved later.
"""

COLD_FACTOR = 1.6
"""How much slower an upstream is just after its start."""

BUSY_DECAY_S = 0.2
"""Age at which a reported number of requests says nothing any more."""

BUSY_LIMIT_S = 3.0
"""Time after which a request without a response is no longer counted."""

OPENING_LIMIT_S = 0.06
"""Time for which a flow that is not open yet counts as a request.

Four times the round trip between a caller and an upstream of another zone.
Callers that have given up, or opened the flow elsewhere, never answer.
"""

MAX_OPENING_TRIES = 5
"""Agents that are asked for one opening packet."""

CANDIDATES = 3
"""Upstreams in a flow's owner order among which the load decides."""

LOOKUP_STAGE_S = 0.04
"""Wait for the holder of a flow before more agents are asked."""

MAX_LOOKUP_AGENTS = 128
"""Agents that are asked at most before a flow is taken for dead."""

LOOKUP_BATCH_S = 0.005
"""Time in which questions to one agent are collected, half a round trip.

After a restart of many processes each balancer seeks hundreds of flows.
"""

MAX_SOUGHT = 48
"""Flows in one question, of 20 bytes each; a datagram has 1,400 at most."""

SMALL_FLEET = 16
"""Agents up to which a lookup asks all at once; an answer may cross zones."""

MAX_EARLY_PROBES = 2
"""Upstreams that may get a packet before all agents were asked about it.

Three packets of a flow at other upstreams count as a broken flow.
"""

PARK_S = 1.2
"""Time for which an opening packet waits for an upstream.

Callers give up on a flow after 1.4 s.
"""

PARK_RETRY_S = 0.1
"""Interval at which such a packet is tried again."""

MAX_PARKED = 512
"""Opening packets that wait for an upstream at one balancer."""

LOOKUP_HOLD_S = 0.12
"""Pause after a lookup that found no holder, before the flow is sought again.

Below the callers' shortest retransmission interval of 200 ms.
"""

HELD_PACKETS = 32
"""Packets of one flow that wait for its lookup; a window has 16."""

SEQUENCE_WINDOW = 76_800
"""Largest distance of an acknowledgement from an upstream's first sequence.

A window of 16 packets of 1,200 bytes, four times.
"""

# Tables.

MAX_FLOWS = 200_000
"""Flows that a balancer remembers; more than 5.6 million over 550 nodes."""

MAX_ABSENT = 20_000
"""Flows that an agent remembers not to hold."""

MAX_PROBES = 1_000
"""Packets that an agent tries at its upstream before it forgets them."""

FLOW_IDLE_S = 60.0
"""Idle time after which a flow is forgotten; callers keep none for longer."""

# Suspicion.

SUSPECT_S = 1.0
"""Time for which an agent that did not answer gets no new flow."""

MAX_SUSPECT_S = 4.0
"""Limit of that time, which doubles with each failure in a row."""

DEAD_AGENT_S = 4.0
"""Silence after which an agent's flows are taken for lost.

An agent restarts within two seconds and announces its upstream with the next
report after that.
"""

DEAD_AGENT_FAILURES = 2
"""Times in a row that such an agent must have left a question unanswered."""

UPSTREAM_SILENT_S = 0.15
"""An upstream that does not answer an opening packet in this time is silent.

Upstreams answer within a millisecond, so only one that hangs takes longer.
"""

LOST_REPORTS = 3.0
"""Report intervals without a report after which an upstream is silent."""

# Spread.

NOTICE_INTERVAL_S = 0.25
"""Interval of configuration notices among balancers."""

NOTICE_FANOUT = 3
"""Balancers that get each periodic notice."""

NEWS_FANOUT = 6
"""Balancers that get a new configuration or a changed announcement at once."""

ANNOUNCE_FANOUT = 8
"""Balancers to which an agent announces its upstream directly."""

ANNOUNCE_INTERVAL_S = 1.0
"""Longest time between announcements of an agent."""

LIVE_PEER_S = 2.0
"""A balancer that was heard in this time passes changes on."""

PEER_IDLE_S = 10.0
"""A balancer that was not heard for this long gets fewer notices."""

FRESH_CONFIG_S = 1.0
"""Age of a confirmed configuration up to which it surely lacks no route.

A watch may miss changes for a second, and they must be in force after 3 s.
"""

# Store.

STORE_TIMEOUT_S = 1.5
"""Wait for an answer of the store; it answers in milliseconds."""

WATCH_WAIT_S = 10.0
"""Longest wait of a watch.

A connection that went silent delays news for as long, so each kind has a
second way: polls and notices for the configuration, announcements for
upstreams.
"""

BALANCER_LIST_S = 10.0
"""Interval of lists of the balancers, which also tell of themselves."""

CONFIG_PAUSE_S = 0.3
"""Pause after a change of the configuration, a tenth of the allowed 3 s.

In a storm one call brings several versions, of which only the last matters.
"""

UPSTREAM_PAUSE_S = 3.0
"""Pause after changes of upstreams, which agents also announce themselves."""

CONFIG_POLL_S = 1.0
"""Interval of plain reads of the configuration beside the watch.

A watch may miss a change for seconds; a third of the 3 s that are allowed.
"""

CONFIG_POLL_SHARE_S = 0.4
"""Interval of such reads over all balancers that hear each other."""

FULL_POLL = 4
"""Every so many polls the whole configuration is read, not only changes."""

SNAPSHOT_TIMEOUT_S = 3.0
"""Wait for another balancer's snapshot; some links have 5 Mbit/s."""

STORE_BACKOFF_BASE_S = 0.1
STORE_BACKOFF_CAP_S = 1.0
"""Limit of the pause between failed calls: half of the time to recover."""

ENTRY_EXPIRY_S = 120.0
"""Silence after which the entry of a VM is removed from the store."""

# Stops.

BALANCER_LINGER_S = 1.25
"""Time for which a stopping balancer forwards: two checks, 0.5 s apart.

A longer time makes the outages of balancers that restart in turn overlap. If
fewer than half of a zone's balancers are ready, the routers use all of them,
also the one that is down.
"""

AGENT_LINGER_S = 0.25
"""Time in which a stopping agent lets short flows end."""
