"""Measures how memory, message size and processor time grow with state."""

from __future__ import annotations

import gc
import itertools
import random
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from bramleydyke.bench._fit import LinearFit, fit_line
from bramleydyke.core.config import (
    ConfigStore,
    PartnerConfig,
    ServiceConfig,
    UpstreamSpec,
    full_delta,
    next_config,
)
from bramleydyke.core.members import Members
from bramleydyke.core.records import Record, RecordState, RequestRecords
from bramleydyke.messages import Announcement
from bramleydyke.types import (
    AvailabilityZone,
    Incarnation,
    MemberState,
    PartnerId,
    Protocol,
    RequestId,
    ServiceAddress,
    ServiceId,
    UpstreamId,
    agent_node,
)

SERVICE_COUNTS = (100, 400, 830)
MEMBER_COUNTS = (500, 2_000, 4_350)
RECORD_COUNTS = (1_000, 5_000, 20_000)
UPSTREAM_COUNTS = (3, 4, 5, 5, 6)
"""Upstream counts of successive services; their mean is the target's, 4.6."""

ANSWER_BYTES = 256
"""Size of the answer that each request record keeps."""

_PARTNER = PartnerId("federation")
_ZONES = [AvailabilityZone(f"zone-{index}") for index in range(9)]


def make_services(count: int, *, weight: float = 1.0) -> list[ServiceConfig]:
    """Returns services with as many upstreams as in the target deployment."""
    upstreams = itertools.cycle(UPSTREAM_COUNTS)
    return [
        ServiceConfig(
            service_id=ServiceId(f"{_PARTNER}/service-{index}"),
            partner_id=_PARTNER,
            protocol=Protocol.HTTP,
            addresses=(ServiceAddress(f"10.0.{index // 250}.{index % 250}:443"),),
            upstreams=tuple(
                UpstreamSpec(UpstreamId(f"u{index}-{item}"), _ZONES[item], weight, 2)
                for item in range(next(upstreams))
            ),
        )
        for index in range(count)
    ]


def config_with_history(count: int) -> PartnerConfig:
    """Returns a configuration whose services keep earlier owner sets."""
    config = PartnerConfig(partner_id=_PARTNER)
    for change in range(5):
        new_services = make_services(count, weight=1.0 + change)
        config = next_config(config, new_services, change_id=str(change))
    return config


def measure(*, seed: int) -> dict[str, object]:
    """Measures what configuration, members and request records cost.

    Returns:
        ``slopes`` with a fitted line by name, as built-in types.
    """
    random_source = random.Random(seed)
    slopes = {
        "config_memory": _measure_memory(SERVICE_COUNTS, _make_config_store, "service"),
        "config_object": _measure_encoded_size(
            SERVICE_COUNTS, _encode_config, "service"
        ),
        "member_memory": _measure_memory(MEMBER_COUNTS, _make_members, "member"),
        "record_memory": _measure_memory(RECORD_COUNTS, _make_records, "record"),
        "change_cpu": _measure_cpu(
            SERVICE_COUNTS, _prepare_change, "service", random_source
        ),
    }
    return {
        "slopes": {name: msgspec.to_builtins(item) for name, item in slopes.items()}
    }


def _measure_memory(
    counts: tuple[int, ...], build: Callable[[int], object], size: str
) -> LinearFit:
    points = [(float(count), _allocated_bytes(build, count)) for count in counts]
    return fit_line(points, unit="bytes", size=size)


def _allocated_bytes(build: Callable[[int], object], count: int) -> float:
    gc.collect()
    tracemalloc.start()
    built = build(count)
    gc.collect()
    allocated = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return float(allocated)


def _measure_encoded_size(
    counts: tuple[int, ...], encode: Callable[[int], bytes], size: str
) -> LinearFit:
    points = [(float(count), float(len(encode(count)))) for count in counts]
    return fit_line(points, unit="bytes", size=size)


def _measure_cpu(
    counts: tuple[int, ...],
    prepare: Callable[[int, random.Random], Callable[[], object]],
    size: str,
    random_source: random.Random,
    *,
    repeats: int = 7,
) -> LinearFit:
    """Fits a line to the median processor times of an action.

    Args:
        counts: Sizes to measure.
        prepare: Takes a size and a random source; returns the action to
            time.
        size: What the sizes count.
        random_source: Random source of the preparation.
        repeats: Number of times that each size is measured.
    """
    points = []
    for count in counts:
        times = []
        for _ in range(repeats):
            action = prepare(count, random_source)
            started = time.process_time()
            action()
            times.append(time.process_time() - started)
        points.append((float(count), sorted(times)[repeats // 2]))
    return fit_line(points, unit="seconds", size=size)


def _make_config_store(count: int) -> ConfigStore:
    encoded = msgspec.msgpack.encode(full_delta(config_with_history(count)))
    store = ConfigStore()
    delta = msgspec.msgpack.decode(encoded, type=type(full_delta(_EMPTY)))
    store.apply(delta, now=0.0)
    return store


_EMPTY = PartnerConfig(partner_id=_PARTNER)


def _encode_config(count: int) -> bytes:
    return msgspec.json.encode(config_with_history(count))


def make_announcement(index: int) -> Announcement:
    """Returns the announcement of the agent with the given number."""
    service_id = ServiceId(f"{_PARTNER}/service-{index % 830}")
    upstream_id = UpstreamId(f"u{index}")
    return Announcement(
        node_id=agent_node(service_id, upstream_id),
        incarnation=Incarnation(1_700_000_000 + index),
        revision=1,
        state=MemberState.RUNNING,
        zone=_ZONES[index % 9],
        endpoint=f"10.1.{index // 250}.{index % 250}:7000",
        partner_id=_PARTNER,
        service_id=service_id,
        upstream_id=upstream_id,
        slots=2,
        credential=f"{index:032x}",
    )


def _make_members(count: int) -> Members:
    members = Members()
    for index in range(count):
        members.merge(make_announcement(index), now=float(index))
    return members


def _make_records(count: int) -> RequestRecords:
    records = RequestRecords()
    for index in range(count):
        record = Record(
            request_id=RequestId(f"balancer/b{index % 550}/1700000000/{index}"),
            state=RecordState.RUNNING,
            deadline=30.0,
            idempotent=False,
        )
        records.add(record)
        answer = index.to_bytes(4, "big") * (ANSWER_BYTES // 4)
        records.finish(record, RecordState.DONE, answer=answer, now=float(index))
    return records


def _prepare_change(count: int, random_source: random.Random) -> Callable[[], object]:
    """Prepares the delta of a change to one of ``count`` services."""
    config = config_with_history(count)
    store = ConfigStore()
    store.apply(full_delta(config), now=0.0)
    new_services = make_services(count, weight=5.0)
    new_services[random_source.randrange(count)] = make_services(count, weight=9.0)[0]
    base = config.generation
    changed_store = ConfigStore()
    changed_store.apply(
        full_delta(next_config(config, new_services, change_id="x")), now=0.0
    )
    delta = changed_store.delta_since(_PARTNER, base)
    return lambda: store.apply(delta, now=1.0)
