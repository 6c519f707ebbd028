"""Removal of stored entries of VMs that do not return."""

from __future__ import annotations

import random

from network import SERVICE, ZONE
from twisted.internet.task import Clock

from bramleydyke.direct.constants import BALANCER_LIST_S, ENTRY_EXPIRY_S
from bramleydyke.direct.directory import Directory
from bramleydyke.direct.gossip import Gossip
from bramleydyke.direct.messages import Announcement
from bramleydyke.direct.registry import Registry
from bramleydyke.direct.routes import Routes
from bramleydyke.direct.store import CallStatus, Kind, Revision, StoredObject
from bramleydyke.direct.types import Lifetime, NodeIp, UpstreamState
from bramleydyke.types import UpstreamId

GONE = NodeIp("10.0.2.1")
ALIVE = NodeIp("10.0.2.2")


class RecordingStore:
    """Store in which every entry exists; records removals."""

    def __init__(self) -> None:
        self.removed = []

    def get(self, kind, name, reply):
        reply(CallStatus.OK, StoredObject(name, Revision(7), "entry"))

    def remove(self, kind, name, revision, reply):
        self.removed.append((kind, name, revision))
        reply(CallStatus.OK, None)

    def list(self, kind, reply, *, stale=False):
        """Does not answer."""

    def watch(self, kind, revision, wait_s, reply):
        """Does not answer."""


def start_registry(clock: Clock, store: RecordingStore) -> Registry:
    directory = Directory(ZONE)
    routes = Routes()
    gossip = Gossip(
        node=NodeIp("10.0.1.1"),
        routes=routes,
        send=lambda node, message: None,
        fetch=lambda node, version: None,
        random_source=random.Random(1),
    )
    for node in (GONE, ALIVE):
        announcement = Announcement(
            node=node,
            zone=ZONE,
            service=SERVICE,
            upstream=UpstreamId("i"),
            lifetime=Lifetime(5),
            sequence=1,
            revision=0,
            state=UpstreamState.READY,
        )
        directory.apply(announcement, now=clock.seconds(), from_agent=True)
    registry = Registry(
        store=store,
        clock=clock,
        random_source=random.Random(1),
        routes=routes,
        directory=directory,
        on_announcement=lambda *_, **__: True,
        gossip=gossip,
        count=lambda name: None,
        record=lambda event, **inputs: None,
        listed_names={GONE, ALIVE},
    )
    registry.start()
    return registry


def test_entries_of_vms_that_were_silent_for_long_are_removed():
    clock, store = Clock(), RecordingStore()
    registry = start_registry(clock, store)
    registry.gossip.add_peer(NodeIp("10.0.1.9"), now=0.0)
    for _ in range(2):
        registry.directory.mark_suspect(GONE, now=0.0)
    for _ in range(int(ENTRY_EXPIRY_S / BALANCER_LIST_S) + 1):
        assert store.removed == []
        registry.directory.answered(ALIVE, now=clock.seconds())
        clock.advance(BALANCER_LIST_S)
    assert sorted(store.removed, key=str) == [
        (Kind.BALANCERS, "10.0.1.9", 7),
        (Kind.UPSTREAMS, GONE, 7),
    ]


def test_one_balancer_looks_after_each_entry():
    clock, store = Clock(), RecordingStore()
    gossip = start_registry(clock, store).gossip
    peers = [NodeIp(f"10.0.1.{number}") for number in range(2, 8)]
    for peer in peers:
        gossip.add_peer(peer, now=0.0)
    nodes = [NodeIp(f"10.0.2.{number}") for number in range(700)]
    mine = sum(gossip.is_responsible_for(node, now=0.0) for node in nodes)
    assert 60 <= mine <= 140
    gossip.peers.clear()
    assert all(gossip.is_responsible_for(node, now=0.0) for node in nodes)
