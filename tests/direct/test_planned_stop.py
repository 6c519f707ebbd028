"""A planned stop under load cuts off no opening that was accepted.

Callers repeat an opening packet twice within 0.6 s. What a stopping process
keeps after that is lost without an answer.
"""

from __future__ import annotations

import socket

import pytest
from network import Network, system

from bramleydyke.adapters.raw_datagrams import RawDatagrams
from bramleydyke.direct.types import NodeIp

BALANCER = NodeIp("10.0.1.0")
OTHER_BALANCER = NodeIp("10.0.1.1")


def overloaded(seed: int, *, openings: int) -> tuple[Network, list]:
    """Returns a network whose balancer has parked some of the openings."""
    network = system(seed, balancers=2, upstreams=2)
    for upstream in network.upstreams.values():
        upstream.work_s = 0.02
    other = network.balancers.pop(OTHER_BALANCER)
    network.agents, agents = {}, network.agents
    callers = [network.open_flow() for _ in range(openings)]
    network.run(0.7)
    network.agents = agents
    network.balancers[OTHER_BALANCER] = other
    assert len(network.balancers[BALANCER].openings.parked) == openings
    return network, callers


@pytest.mark.parametrize("seed", range(5))
def test_a_stopping_balancer_leaves_no_opening_without_an_answer(seed):
    """All three copies went to this balancer before it stopped."""
    network, callers = overloaded(seed, openings=8)
    balancer = network.balancers[BALANCER]
    network.run(0.02)
    balancer.stop(now=network.now)
    network.balancers.pop(BALANCER)
    network.run(1.0)
    unanswered = [c for c in callers if c.gave_up]
    assert not unanswered
    assert sum(1 for caller in callers if caller.answers) >= 6


def test_an_opening_keeps_its_age_when_it_is_handed_over():
    network, callers = overloaded(1, openings=1)
    balancer = network.balancers.pop(BALANCER)
    network.agents.clear()
    balancer.stop(now=network.now)
    network.run(0.05)
    other = network.balancers[OTHER_BALANCER].openings
    (opening,) = [*other.parked.values(), *other.waiting.values()]
    assert opening.arrived_at == pytest.approx(callers[0].opened_at, abs=0.02)


def test_the_last_balancer_refuses_what_waits_when_it_stops():
    network, callers = overloaded(1, openings=4)
    network.agents.clear()
    balancer = network.balancers.pop(BALANCER)
    balancer.gossip.peers.clear()
    balancer.stop(now=network.now)
    network.run(0.05)
    assert {caller.ended for caller in callers} == {"reset"}


class IdleReactor:
    """Reactor that never reads: the process is about to exit."""

    def addReader(self, reader: object) -> None:  # noqa: N802
        pass

    def removeReader(self, reader: object) -> None:  # noqa: N802
        pass


def test_datagrams_in_the_buffer_are_read_before_a_socket_closes():
    """They had arrived when the process was told to stop."""
    received = []
    datagrams = RawDatagrams(
        reactor=IdleReactor(),
        endpoint="127.0.68.1:8172",
        receive=lambda datagram, _: received.append(datagram),
        count=lambda name: None,
        on_batch_read=lambda: None,
    )
    datagrams.start()
    expected = [b"%d" % number for number in range(200)]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for content in expected:
            sender.sendto(content, ("127.0.68.1", 8172))
    datagrams.read_pending()
    datagrams.close()
    assert received == expected


def test_a_socket_that_never_empties_does_not_delay_the_exit():
    sends = []
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:

        def send_another(*_: object) -> None:
            sends.append(1)
            sender.sendto(b"again", ("127.0.68.1", 8173))

        datagrams = RawDatagrams(
            reactor=IdleReactor(),
            endpoint="127.0.68.1:8173",
            receive=send_another,
            count=lambda name: None,
            on_batch_read=lambda: None,
        )
        datagrams.start()
        send_another()
        datagrams.read_pending()
        datagrams.close()
    assert len(sends) < 10_000
