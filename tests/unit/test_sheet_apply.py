from __future__ import annotations

import random
from collections.abc import Callable

import msgspec
import pytest

from bramleydyke.core.config import PartnerConfig, ServiceConfig, UpstreamSpec
from bramleydyke.core.sheet_apply import (
    ApplyOutcome,
    Steps,
    apply_sheet,
    claim_path,
    sheet_path,
)
from bramleydyke.errors import ErrorKind
from bramleydyke.messages import PlatformRead, PlatformReply, PlatformWrite
from bramleydyke.types import (
    AvailabilityZone,
    PartnerId,
    PlatformStatus,
    Protocol,
    ServiceAddress,
    ServiceId,
    UpstreamId,
)

FEDERATION = PartnerId("federation")
STUDIO = PartnerId("studio")

Fault = Callable[[PlatformRead | PlatformWrite], str]


class Store:
    """Object store with versions and conditional writes.

    Attributes:
        objects: Version and value of each object.
        fault: Returns "down", "lost" or "" for a call. A "lost" call takes
            effect, but its reply is replaced by ``LOST``.
        written_change_ids: Change ids of all sheets that were ever written.
    """

    def __init__(self) -> None:
        self.objects: dict[str, tuple[int, bytes]] = {}
        self.fault: Fault = lambda call: ""
        self.written_change_ids: set[str] = set()

    def reply(self, call: PlatformRead | PlatformWrite) -> PlatformReply:
        fault = self.fault(call)
        if fault == "down":
            return PlatformReply(call=call.call, status=PlatformStatus.UNAVAILABLE)
        reply = self.read(call) if isinstance(call, PlatformRead) else self.write(call)
        if fault == "lost":
            return PlatformReply(call=call.call, status=PlatformStatus.LOST)
        return reply

    def read(self, call: PlatformRead) -> PlatformReply:
        if call.path not in self.objects:
            return PlatformReply(call=call.call, status=PlatformStatus.NOT_FOUND)
        version, value = self.objects[call.path]
        return PlatformReply(
            call=call.call, status=PlatformStatus.OK, version=version, value=value
        )

    def write(self, call: PlatformWrite) -> PlatformReply:
        version = self.objects.get(call.path, (0, b""))[0]
        if version != call.expected:
            return PlatformReply(call=call.call, status=PlatformStatus.CONFLICT)
        self.objects[call.path] = (version + 1, call.value)
        if call.path.startswith("sheets/"):
            config = msgspec.json.decode(call.value, type=PartnerConfig)
            self.written_change_ids.add(config.change_id)
        return PlatformReply(
            call=call.call, status=PlatformStatus.OK, version=version + 1
        )

    def sheet(self, partner: PartnerId) -> PartnerConfig:
        if sheet_path(partner) not in self.objects:
            return PartnerConfig(partner_id=partner)
        return msgspec.json.decode(
            self.objects[sheet_path(partner)][1], type=PartnerConfig
        )

    def addresses(self, partner: PartnerId) -> set[ServiceAddress]:
        services = self.sheet(partner).services
        return {item for service in services for item in service.addresses}


def service(partner: PartnerId, name: str, *ports: int) -> ServiceConfig:
    return ServiceConfig(
        service_id=ServiceId(f"{partner}/{name}"),
        partner_id=partner,
        protocol=Protocol.HTTP,
        addresses=tuple(ServiceAddress(f"127.0.0.1:{port}") for port in ports),
        upstreams=(UpstreamSpec(UpstreamId("u1"), AvailabilityZone("fes")),),
    )


def start_attempt(
    partner: PartnerId, change_id: str, *services: ServiceConfig
) -> Steps:
    return apply_sheet(
        partner, services, change_id=change_id, confirm=lambda changes: True
    )


def interleave(
    store: Store, attempts: dict[str, Steps], source: random.Random
) -> dict[str, ApplyOutcome]:
    """Runs attempts concurrently, with their calls in random order.

    Returns the outcome of each attempt.
    """
    waiting = {name: next(steps) for name, steps in attempts.items()}
    outcomes = {}
    while waiting:
        name = source.choice(sorted(waiting))
        try:
            waiting[name] = attempts[name].send(store.reply(waiting[name]))
        except StopIteration as stop:
            outcomes[name] = stop.value
            del waiting[name]
    return outcomes


def run(store: Store, steps: Steps) -> ApplyOutcome:
    return interleave(store, {"a": steps}, random.Random(0))["a"]


def test_write_with_lost_reply_is_applied_once() -> None:
    """Guards against reporting a change that took effect as failed."""
    store = Store()
    replies = iter(["lost"])
    store.fault = lambda call: (
        next(replies, "")
        if isinstance(call, PlatformWrite) and call.path.startswith("sheets/")
        else ""
    )
    outcome = run(store, start_attempt(STUDIO, "c1", service(STUDIO, "proof-desk", 1)))
    assert (outcome.kind, outcome.generation) == (None, 1)
    again = run(store, start_attempt(STUDIO, "c1", service(STUDIO, "proof-desk", 1)))
    assert (again.kind, again.generation) == (None, 1)


def test_unavailable_store_is_reported_and_unchanged() -> None:
    """Guards against a partial change while the store is down."""
    store = Store()
    store.fault = lambda call: "down"
    outcome = run(store, start_attempt(STUDIO, "c1", service(STUDIO, "proof-desk", 1)))
    assert outcome.kind is ErrorKind.STORE_UNAVAILABLE
    assert store.objects == {}


def test_sheet_with_address_of_another_partner_is_rejected() -> None:
    """Guards against one address for two partners, and unreleased claims."""
    store = Store()
    run(store, start_attempt(FEDERATION, "c1", service(FEDERATION, "bourse", 1)))
    wanted = (service(STUDIO, "proof-desk", 2), service(STUDIO, "vault", 1))
    outcome = run(store, start_attempt(STUDIO, "c2", *wanted))
    assert outcome.kind is ErrorKind.WRONG_PARTNER
    assert store.sheet(STUDIO).generation == 0
    assert store.objects[claim_path(ServiceAddress("127.0.0.1:2"))][1] == b""


def _operators(
    source: random.Random,
) -> list[tuple[str, PartnerId, str, list[int]]]:
    """Returns name, partner, service and ports for concurrent attempts."""
    return [
        (
            f"{partner}-{index}",
            partner,
            source.choice(["one", "two"]),
            source.sample(range(1, 6), source.randint(1, 3)),
        )
        for partner in (FEDERATION, STUDIO)
        for index in range(4)
    ]


@pytest.mark.parametrize("seed", range(600))
def test_concurrent_operators_leave_a_consistent_sheet(seed: int) -> None:
    """Guards against wrong outcomes, lost claims and shared addresses.

    Four operators of each partner apply sheets concurrently, while replies
    are lost and the store is down for single calls.
    """
    source = random.Random(seed)
    store = Store()
    run(store, start_attempt(FEDERATION, "c0", service(FEDERATION, "bourse", 1, 2)))
    faults = source.choice([0.0, 0.1, 0.3])
    store.fault = lambda call: (
        source.choice(["lost", "down"]) if source.random() < faults else ""
    )
    sheets = {
        name: start_attempt(partner, name, service(partner, service_name, *ports))
        for name, partner, service_name, ports in _operators(source)
    }
    outcomes = interleave(store, sheets, source)
    shared = store.addresses(FEDERATION) & store.addresses(STUDIO)
    assert not shared, (seed, shared, outcomes)
    for partner in (FEDERATION, STUDIO):
        for address in store.addresses(partner):
            holder = store.objects[claim_path(address)][1]
            assert holder == partner.encode(), (seed, address, outcomes)
    accepted = {
        name
        for name, item in outcomes.items()
        if item.kind is None and item.difference.lines()
    }
    refused = {
        name
        for name, item in outcomes.items()
        if item.kind not in (None, ErrorKind.STORE_ANSWER_LOST)
    }
    assert not refused & store.written_change_ids, (seed, outcomes)
    assert accepted <= store.written_change_ids, (seed, outcomes)
