"""Simulates the platform's object API over HTTP, with fault injection."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any
from urllib.parse import unquote

import msgspec
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from bramleydyke.adapters.logs import logger
from bramleydyke.daemons.environment import Environment
from bramleydyke.endpoints import parse_endpoint
from bramleydyke.settings import PlatformSettings
from bramleydyke.standins.objects import (
    MAX_VALUE_BYTES,
    ObjectStore,
    StoredObject,
    may_write,
)
from bramleydyke.types import PartnerId

MAX_WAIT_S = 60.0
"""Maximum time in seconds that a watch is held open."""


class Faults(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Faults that the API injects into calls."""

    outage: bool = False
    """If true, every call is answered with 503."""

    delay_s: float = 0.0
    """Delay of each call in seconds."""

    lose_answers: int = 0
    """Number of upcoming writes that take effect but get no response."""


class PlatformServer:
    """HTTP server of the object API.

    Attributes:
        store: All objects.
        calls: Number of calls by HTTP method; a watch counts once.
        faults: Faults that are currently injected.
        partner_by_token: Partner of each credential; None for the nodes'
            credential.
    """

    def __init__(self, settings: PlatformSettings, *, environment: Environment) -> None:
        self.settings = settings
        self.environment = environment
        self.store = ObjectStore()
        self.calls: Counter[str] = Counter()
        self.faults = Faults()
        self.partner_by_token: dict[str, PartnerId | None] = {
            token: PartnerId(name)
            for name, token in settings.partner_credentials.items()
        }
        self.partner_by_token[settings.node_credential] = None
        self.log = logger("platform")
        self.port: Any = None

    def start(self) -> None:
        """Starts listening."""
        address = parse_endpoint(self.settings.listen)
        assert address is not None, self.settings.listen
        self.port = self.environment.reactor.listenTCP(
            address[1], _ApiSite(_Api(self)), interface=address[0], backlog=511
        )
        self.log.info("started", extra={"listen": self.settings.listen})

    def set_faults(self, faults: Faults) -> None:
        """Sets the faults to inject; an outage ends all pending watches."""
        self.faults = faults
        if faults.outage:
            self.store.notify_all()

    def drain(self) -> None:
        """Does nothing: waiting for pending watches would take too long."""

    def idle(self) -> bool:
        """Returns True: stopping does not wait for pending calls."""
        return True

    def stop(self, *, abrupt: bool = False) -> None:
        """Stops listening."""
        if self.port is not None:
            self.port.stopListening()
        self.log.info("stopped", extra={"calls": dict(self.calls)})


class _ApiSite(Site):
    noisy = False

    def log(self, request: Request) -> None:
        """Writes no access log."""


class _Api(Resource):
    isLeaf = True  # noqa: N815 - name given by twisted

    def __init__(self, server: PlatformServer) -> None:
        super().__init__()
        self.server = server
        self.clock = server.environment.clock

    def render(self, request: Request) -> int:
        """Answers ``/control`` at once and other calls after the delay."""
        request.caller_disconnected = False
        request.notifyFinish().addErrback(lambda _: _mark_disconnected(request))
        if request.path == b"/control":
            self._control(request)
        else:
            self.server.calls[request.method.decode("ascii", "replace")] += 1
            self.clock.callLater(self.server.faults.delay_s, self._serve, request)
        return NOT_DONE_YET

    def _serve(self, request: Request) -> None:
        if self.server.faults.outage:
            _reply(request, 503)
            return
        token = _bearer_token(request)
        if token not in self.server.partner_by_token:
            _reply(request, 401)
            return
        kind, _, path = unquote(request.path.decode("ascii", "replace"))[1:].partition(
            "/"
        )
        handlers: dict[tuple[bytes, str], Callable[[Request, str], None]] = {
            (b"GET", "objects"): self._get,
            (b"PUT", "objects"): self._put,
            (b"GET", "list"): self._list,
        }
        handler = handlers.get((request.method, kind))
        if handler is None or not path:
            _reply(request, 404)
        else:
            handler(request, path)

    def _get(self, request: Request, path: str) -> None:
        stored = self.server.store.get(path)
        if self._wait_if_unchanged(request, path):
            return
        if stored.version == 0:
            _reply(request, 404)
        else:
            _reply_object(request, 200, stored)

    def _wait_if_unchanged(self, request: Request, path: str) -> bool:
        """Keeps a watch pending if its object or list has not changed.

        Returns:
            True if the call stays open and must not be answered yet.
        """
        after = _parse_number(request.args.get(b"after", [b""])[0])
        if after is None or self.server.store.version(path) > after:
            return False
        self._hold_watch(request, path)
        return True

    def _hold_watch(self, request: Request, path: str) -> None:
        """Answers a watch at the next change, or with 304 at its timeout."""
        store = self.server.store
        wait = min(
            _parse_number(request.args.get(b"wait", [b"0"])[0]) or 0.0, MAX_WAIT_S
        )

        def on_change() -> None:
            if timer.active():
                timer.cancel()
            self.clock.callLater(0, self._serve, request)

        def end_watch(_: object = None) -> None:
            store.unwatch(path, on_change)
            if timer.active():
                timer.cancel()
            _reply(request, 304, version=store.version(path))

        timer = self.clock.callLater(wait, end_watch)
        store.watch(path, on_change)
        request.notifyFinish().addErrback(end_watch)

    def _put(self, request: Request, path: str) -> None:
        value = request.content.read()
        expected = _parse_number(request.getHeader(b"If-Version") or b"")
        if expected is None or expected != int(expected):
            _reply(request, 400)
        elif len(value) > MAX_VALUE_BYTES:
            _reply(request, 413)
        elif not self._may_write(request, path, value):
            _reply(request, 403)
        elif not self.server.store.put(path, value, expected=int(expected)):
            _reply_object(request, 409, self.server.store.get(path))
        elif self.server.faults.lose_answers > 0:
            self.server.faults.lose_answers -= 1
            request.transport.abortConnection()
        else:
            _reply(request, 200, version=int(expected) + 1)

    def _may_write(self, request: Request, path: str, value: bytes) -> bool:
        current = self.server.store.get(path).value
        partner = self.server.partner_by_token[_bearer_token(request)]
        return may_write(path, value, current=current, partner=partner)

    def _list(self, request: Request, path: str) -> None:
        store = self.server.store
        if not self._wait_if_unchanged(request, path):
            body = msgspec.json.encode(store.list(path))
            _reply(request, 200, body, version=store.version(path))

    def _control(self, request: Request) -> None:
        """Returns call counts and faults; ``PUT`` sets the faults first."""
        if _bearer_token(request) != self.server.settings.control_credential:
            _reply(request, 403)
            return
        if request.method == b"PUT":
            try:
                body = request.content.read()
                self.server.set_faults(msgspec.json.decode(body, type=Faults))
            except msgspec.DecodeError as error:
                _reply(request, 400, str(error).encode())
                return
        state = {"calls": self.server.calls, "faults": self.server.faults}
        _reply(request, 200, msgspec.json.encode(state))


def _mark_disconnected(request: Request) -> None:
    request.caller_disconnected = True


def _bearer_token(request: Request) -> str:
    header = request.getHeader(b"Authorization") or b""
    return header.decode("latin-1").removeprefix("Bearer ")


def _parse_number(text: bytes) -> float | None:
    """Returns a finite, non-negative number, or None for any other text."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value < float("inf") else None


def _reply_object(request: Request, status: int, stored: StoredObject) -> None:
    _reply(request, status, stored.value, version=stored.version)


def _reply(
    request: Request, status: int, body: bytes = b"", *, version: int | None = None
) -> None:
    """Answers a call, unless its caller has disconnected."""
    if request.caller_disconnected or request.finished:
        return
    request.setResponseCode(status)
    if version is not None:
        request.setHeader(b"Version", str(version).encode())
    request.setHeader(b"Content-Length", str(len(body)).encode())
    request.write(body)
    request.finish()
