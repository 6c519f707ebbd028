"""Writes a partner's sheet into the platform's object API.

Before a sheet is written, a claim object is written for each new address, so
that no address belongs to two partners.

Each procedure is a generator. It yields platform calls, and the caller sends
the replies back into it, so that the same code runs with any client and in
tests.
"""

from __future__ import annotations

import hashlib
import itertools
from collections.abc import Callable, Generator, Iterable
from dataclasses import dataclass, field

import msgspec

from bramleydyke.core.config import PartnerConfig, ServiceConfig, next_config
from bramleydyke.core.sheet import SheetDifference, difference
from bramleydyke.errors import ErrorKind
from bramleydyke.messages import PlatformRead, PlatformReply, PlatformWrite
from bramleydyke.types import (
    Generation,
    PartnerId,
    PlatformStatus,
    ServiceAddress,
)

MAX_CALL_ATTEMPTS = 5
"""Maximum number of times that a call is made."""

PlatformCall = PlatformRead | PlatformWrite
Steps = Generator[PlatformCall, PlatformReply, "ApplyOutcome"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """Claim object of a service address, and its version in the store."""

    address: ServiceAddress
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ApplyOutcome:
    """Outcome of an attempt to apply a sheet.

    Attributes:
        kind: None if the store accepted the sheet, else the error.
        generation: The accepted generation, or the one in the store.
        difference: The changes of this sheet. After a conflict, the changes
            that the other operator's sheet made.
        detail: Path, address or reason that the outcome is about.
    """

    kind: ErrorKind | None
    generation: Generation = Generation(0)
    difference: SheetDifference = field(default_factory=SheetDifference)
    detail: str = ""


def sheet_path(partner_id: PartnerId) -> str:
    """Returns the path of a partner's sheet object."""
    return f"sheets/{partner_id}"


def derive_change_id(wanted: Iterable[ServiceConfig], generation: Generation) -> str:
    """Returns a change id derived from a sheet and the stored generation.

    A repeated command gets the same id until another sheet is stored.
    """
    content = msgspec.json.encode((generation, list(wanted)))
    return hashlib.sha256(content).hexdigest()[:32]


def claim_path(address: ServiceAddress) -> str:
    """Returns the path of the claim on a service address."""
    return f"claims/{address}"


@dataclass(slots=True, kw_only=True)
class _Attempt:
    """State of one attempt to apply a sheet.

    Attributes:
        partner_id: The partner that the sheet belongs to.
        change_id: Identifies this attempt's write in the store.
        current: Configuration in the store when the attempt started.
        version: Object version of that configuration.
        new_claims: Claims that this attempt made; released if the attempt is
            known to have failed.
        obsolete_claims: Claims on addresses that are not in the new sheet;
            released once the sheet is stored.
    """

    partner_id: PartnerId
    change_id: str
    current: PartnerConfig
    version: int = 0
    new_claims: list[Claim] = field(default_factory=list)
    obsolete_claims: list[Claim] = field(default_factory=list)


_call_ids = itertools.count(1)


def apply_sheet(
    partner_id: PartnerId,
    wanted: Iterable[ServiceConfig],
    *,
    change_id: str | None = None,
    confirm: Callable[[SheetDifference], bool],
) -> Steps:
    """Applies a sheet; safe to repeat with the same ``change_id``.

    Args:
        partner_id: The partner that the sheet belongs to.
        wanted: All services of the sheet.
        change_id: Identifies the write. If None, the id is derived from the
            sheet and the stored generation.
        confirm: Called with the changes before anything is written; False
            cancels the attempt.

    Yields:
        Platform calls; the caller sends back the reply to each.

    Returns:
        The outcome of the attempt.
    """
    wanted = list(wanted)
    reply = yield _read(sheet_path(partner_id))
    current = _decode(reply, partner_id)
    if current is None:
        return ApplyOutcome(kind=_failure(reply), detail=sheet_path(partner_id))
    attempt = _Attempt(
        partner_id=partner_id,
        change_id=change_id or derive_change_id(wanted, current.generation),
        current=current,
        version=reply.version,
    )
    changes = difference(current, wanted)
    if not changes.lines():
        return ApplyOutcome(kind=None, generation=current.generation)
    if current.change_id == attempt.change_id:
        # After a lost reply the change id in the store shows whose write took
        # effect. An earlier change with the same id would make that ambiguous.
        detail = f"change id {attempt.change_id} belongs to another sheet"
        return ApplyOutcome(
            kind=ErrorKind.BAD_REQUEST, generation=current.generation, detail=detail
        )
    if not confirm(changes):
        return ApplyOutcome(kind=ErrorKind.CANCELLED, generation=current.generation)
    refused = yield from _claim_added(attempt, wanted)
    if refused is not None:
        yield from _release(attempt.new_claims)
        return refused
    yield from _find_obsolete_claims(attempt, wanted)
    return (yield from _write_sheet(attempt, wanted, changes))


def _write_sheet(
    attempt: _Attempt, wanted: list[ServiceConfig], changes: SheetDifference
) -> Steps:
    """Writes the sheet object and determines whether the write took effect.

    The write is conditional on the version that the attempt started from, so
    it can be repeated after a lost reply without being applied twice.
    """
    path = sheet_path(attempt.partner_id)
    config = next_config(attempt.current, wanted, change_id=attempt.change_id)
    value = msgspec.json.encode(config)
    lost = False
    for _ in range(MAX_CALL_ATTEMPTS):
        reply = yield _write(path, value, attempt.version)
        if reply.status is PlatformStatus.OK:
            return (yield from _finish(attempt, config, changes))
        if reply.status is PlatformStatus.CONFLICT:
            return (yield from _resolve_conflict(attempt, config, changes, lost=lost))
        if reply.status is PlatformStatus.FORBIDDEN:
            break
        lost = lost or reply.status is PlatformStatus.LOST
    if lost:
        kind = ErrorKind.STORE_ANSWER_LOST
        return ApplyOutcome(kind=kind, difference=changes, detail=path)
    yield from _release(attempt.new_claims)
    return ApplyOutcome(kind=_failure(reply), detail=path)


def _resolve_conflict(
    attempt: _Attempt, config: PartnerConfig, changes: SheetDifference, *, lost: bool
) -> Steps:
    """Determines whether another operator's write caused a conflict.

    The cause may also be this attempt's own write, if its reply was lost. If
    a reply was lost and the store is more than one generation ahead, this
    write may have been overwritten since, and the outcome is unknown.
    """
    path = sheet_path(attempt.partner_id)
    for _ in range(MAX_CALL_ATTEMPTS):
        reply = yield _read(path)
        winner = _decode(reply, attempt.partner_id)
        if winner is None:
            continue
        if winner.change_id == attempt.change_id:
            return (yield from _finish(attempt, config, changes))
        if lost and winner.generation > config.generation:
            break
        yield from _release(attempt.new_claims)
        in_force = [item for item in winner.services if not item.deleted]
        return ApplyOutcome(
            kind=ErrorKind.CONFLICT,
            generation=winner.generation,
            difference=difference(attempt.current, in_force),
            detail=path,
        )
    return ApplyOutcome(
        kind=ErrorKind.STORE_ANSWER_LOST, difference=changes, detail=path
    )


def _finish(
    attempt: _Attempt, config: PartnerConfig, changes: SheetDifference
) -> Steps:
    """Releases the obsolete claims after the new sheet has been stored."""
    yield from _release(attempt.obsolete_claims)
    return ApplyOutcome(kind=None, generation=config.generation, difference=changes)


def _find_obsolete_claims(
    attempt: _Attempt, wanted: list[ServiceConfig]
) -> Generator[PlatformCall, PlatformReply, None]:
    """Reads the claims that become obsolete, before the sheet is written.

    The release is conditional on the version read here, so that a later claim
    on the same address is not released.
    """
    kept = _addresses(wanted)
    removed = [
        item for item in _addresses(attempt.current.services) if item not in kept
    ]
    for address in removed:
        reply = yield _read(claim_path(address))
        if reply.status is PlatformStatus.OK and reply.value == _owner(attempt):
            attempt.obsolete_claims.append(
                Claim(address=address, version=reply.version)
            )


def _claim_added(
    attempt: _Attempt, wanted: list[ServiceConfig]
) -> Generator[PlatformCall, PlatformReply, ApplyOutcome | None]:
    """Claims the addresses that are not in the stored sheet.

    Returns:
        The refusal, or None if all addresses were claimed.
    """
    known = _addresses(attempt.current.services)
    added = [item for item in _addresses(wanted) if item not in known]
    for address in added:
        kind = yield from _claim(attempt, address)
        if kind is not None:
            return ApplyOutcome(
                kind=kind, generation=attempt.current.generation, detail=address
            )
    return None


def _claim(
    attempt: _Attempt, address: ServiceAddress
) -> Generator[PlatformCall, PlatformReply, ErrorKind | None]:
    """Writes the claim object of an address.

    A claim that the partner already has is written again. If another attempt
    of the partner made the claim and then fails, its release is conditional on
    the old version and has no effect. Only the attempt that made a claim
    releases it, since other attempts may rely on it.

    Returns:
        None if the address is claimed, else the error.
    """
    path = claim_path(address)
    reply = yield _read(path)
    for _ in range(MAX_CALL_ATTEMPTS):
        if reply.status not in (PlatformStatus.OK, PlatformStatus.NOT_FOUND):
            reply = yield _read(path)
            continue
        if reply.value not in (None, b"", _owner(attempt)):
            return ErrorKind.WRONG_PARTNER
        written = yield _write(path, _owner(attempt), reply.version)
        if written.status is PlatformStatus.OK and reply.value != _owner(attempt):
            attempt.new_claims.append(Claim(address=address, version=written.version))
        if written.status is PlatformStatus.OK:
            return None
        if written.status is PlatformStatus.FORBIDDEN:
            return ErrorKind.WRONG_PARTNER
        reply = yield _read(path)
    return _failure(reply)


def _release(
    claims: Iterable[Claim],
) -> Generator[PlatformCall, PlatformReply, None]:
    """Empties claim objects, unless they have been written since."""
    for claim in claims:
        yield _write(claim_path(claim.address), b"", claim.version)


def _owner(attempt: _Attempt) -> bytes:
    return attempt.partner_id.encode()


def _addresses(services: Iterable[ServiceConfig]) -> dict[ServiceAddress, None]:
    return dict.fromkeys(
        address
        for service in services
        if not service.deleted
        for address in service.addresses
    )


def _decode(reply: PlatformReply, partner_id: PartnerId) -> PartnerConfig | None:
    if reply.status is PlatformStatus.NOT_FOUND:
        return PartnerConfig(partner_id=partner_id)
    if reply.status is not PlatformStatus.OK or reply.value is None:
        return None
    return msgspec.json.decode(reply.value, type=PartnerConfig)


def _failure(reply: PlatformReply) -> ErrorKind:
    if reply.status is PlatformStatus.FORBIDDEN:
        return ErrorKind.WRONG_PARTNER
    if reply.status is PlatformStatus.CONFLICT:
        return ErrorKind.CONFLICT
    return ErrorKind.STORE_UNAVAILABLE


def _read(path: str) -> PlatformRead:
    return PlatformRead(call=next(_call_ids), path=path)


def _write(path: str, value: bytes, expected: int) -> PlatformWrite:
    return PlatformWrite(
        call=next(_call_ids), path=path, value=value, expected=expected
    )
