"""Base class of the processes that run a balancer or an agent."""

from __future__ import annotations

import random
from typing import Any

from bramleydyke.adapters.logs import logger
from bramleydyke.adapters.metrics import Metrics, new_metrics
from bramleydyke.adapters.network import Network
from bramleydyke.adapters.platform_client import PlatformClient
from bramleydyke.adapters.runner import Runner
from bramleydyke.daemons.environment import Environment
from bramleydyke.ports import Role
from bramleydyke.settings import NodeSettings, seeds_of
from bramleydyke.types import LOCAL_METRICS, LOCAL_PLATFORM, NodeId


def random_source(settings: NodeSettings, *, node_id: NodeId) -> random.Random:
    """Returns a node's random source and logs its seed.

    The seed comes from the settings; if they give none, it is random. With the
    logged seed, a run can be repeated.
    """
    seed = settings.random_seed
    if seed is None:
        seed = random.SystemRandom().getrandbits(32)
    logger("node").info("random seed", extra={"node": node_id, "seed": seed})
    return random.Random(f"{seed}/{node_id}")


class Node:
    """Connects a role to its network, the platform and its metrics.

    Attributes:
        role: The role, a ``Balancer`` or an ``Agent``.
        runner: Passes messages and wake-ups to the role and sends what it
            returns.
        network: Sockets for messages to and from other nodes.
        platform: Client of the platform's object API.
        metrics: Counters of this node, sent to statsd if it is configured.
    """

    def __init__(
        self,
        *,
        role: Role,
        settings: NodeSettings,
        environment: Environment,
    ) -> None:
        self.role = role
        self.environment = environment
        self.log = logger(role.node_id)
        self.metrics: Metrics = new_metrics(settings.statsd, prefix=role.node_id)
        count = self.metrics.count
        clock = environment.clock
        self.runner = Runner(role=role, clock=clock, count=count)
        self.network = Network(
            reactor=environment.reactor,
            clock=clock,
            context=environment.context,
            node_id=role.node_id,
            endpoint=settings.listen,
            members=role.members,
            seeds=seeds_of(settings),
            deliver=self.runner.deliver,
            count=count,
        )
        self.platform = PlatformClient(
            reactor=environment.reactor,
            clock=clock,
            base_url=settings.platform.url,
            credential=settings.platform.credential,
            deliver=self.runner.deliver_from_port,
        )
        self.runner.send = self.network.send
        self.runner.ports[LOCAL_METRICS] = self.metrics.handle
        self.runner.ports[LOCAL_PLATFORM] = self.platform.handle

    def start(self) -> None:
        """Logs the start and schedules the role's first wake-up."""
        self.log.info("started", extra={"listen": self.network.endpoint})
        self.runner.start()

    def idle(self) -> bool:
        """Returns whether a draining node may stop."""
        return self.role.idle()

    def stop(self, **options: Any) -> None:
        """Stops at once and closes all sockets.

        Args:
            options: Passed to ``Network.close``.
        """
        self.runner.stop()
        self.platform.close()
        self.network.close(**options)
        self.log.info("stopped", extra={"counts": dict(self.metrics.counts)})
