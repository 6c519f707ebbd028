"""Defaults, each with its unit in the name or beside it."""

from __future__ import annotations

WIRE_VERSION = 1
"""Version in each frame between own processes; others are refused."""

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""Largest frame that is accepted from a link."""

MAX_DATAGRAM_BYTES = 60_000
"""Largest datagram that is sent or accepted."""

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

CALLER_RETRY_HORIZON_S = 60.0
"""Callers repeat a request id no later than this after its deadline."""

RECORD_RETENTION_S = 120.0
"""How long an ended request is remembered: deadline and retry horizon."""

REPLAY_BYTES = 16 * 1024 * 1024
"""Bytes of ended answers that an agent keeps for repeated requests."""

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
