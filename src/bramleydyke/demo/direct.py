"""Demo of the direct mode: ``python -m bramleydyke.demo.direct``.

It runs balancers and agents on a simulated platform in one reactor.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import click
import msgspec

from bramleydyke.standins.platform_vm.system import ROUTE_IP, PlatformSystem
from bramleydyke.standins.platform_vm.traffic import CallerFlow

BOARD_PORT, VAULT_PORT = 8443, 80
"""Ports of the route address, each with its own service."""

ROUTES = {BOARD_PORT: "board", VAULT_PORT: "vault"}
UPSTREAM_SERVICES = ("board", "board", "board", "vault", "vault")
"""Service of each upstream."""

LONG_FLOWS = 12
"""Flows on each route that stay open for the whole run."""

START_S = 1.5
"""Seconds for the nodes to start before the first flows are opened."""

RUN_S = 12.0
"""Seconds during which requests are sent."""

SETTLE_S = 4.0
"""Seconds for the answers to the last requests, with retransmissions."""

REQUEST_INTERVAL_S = 0.1
"""Seconds between rounds of requests."""

MAX_NOT_OPENED = 10
"""Maximum number of flows that fail to open because a balancer was killed.

The routers drop the balancer only after two failed checks. By then all
SYN packets, including retransmissions, of the flows opened in about one
second have been sent to it.
"""


class DirectDemo:
    """Sends traffic while nodes are killed, added and drained on a schedule.

    Attributes:
        report_event: Prints a line about each event.
        flows: The long flows, followed by one flow for each short request.
        sent_requests: Payloads of the requests of each flow, by its ``id()``.
        last_request: Number of the last request.
    """

    def __init__(
        self, reactor: Any, *, seed: int, report_event: Callable[[str], None]
    ) -> None:
        self.system = PlatformSystem(reactor=reactor, network="127.10", seed=seed)
        self.clock = self.system.clock
        self.report_event = report_event
        self.flows: list[CallerFlow] = []
        self.sent_requests: dict[int, list[bytes]] = {}
        self.last_request = 0

    def run(self, finish: Callable[[dict[str, Any]], None]) -> None:
        """Starts the system and schedules all events.

        Args:
            finish: Called with the result at the end.
        """
        system = self.system
        system.start(ROUTES)
        for number in (1, 2, 3):
            system.add_balancer(number)
        for number, service in enumerate(UPSTREAM_SERVICES, start=1):
            system.add_upstream(number, service)
        first_upstream = system.upstreams[f"{system.network}.2.1"]
        steps: list[tuple[float, str, Callable[[], object]]] = [
            (2.0, "a balancer is killed", lambda: self._kill(1, 1)),
            (3.5, "a balancer joins", lambda: system.add_balancer(4)),
            (4.5, "an agent is killed", lambda: self._kill(2, 2)),
            (
                5.0,
                "the agent is back",
                lambda: system.start_agent(2, UPSTREAM_SERVICES[1]),
            ),
            (
                6.0,
                "an upstream drains",
                lambda: setattr(first_upstream, "draining", True),
            ),
            (7.0, "the store is down", lambda: setattr(system.store, "down", True)),
            (9.0, "the store is back", lambda: setattr(system.store, "down", False)),
            (9.5, "a route is added", lambda: system.configure(ROUTES | {81: "vault"})),
        ]
        self.clock.callLater(START_S, self._open_long_flows)
        for after, text, step in steps:
            self.clock.callLater(START_S + after, self._run_step, text, step)
        end = START_S + RUN_S + SETTLE_S
        self.clock.callLater(end, lambda: finish(self.result()))

    def result(self) -> dict[str, Any]:
        """Returns the counts of the run so far."""
        requests = [
            (flow, text) for flow in self.flows for text in self.sent_requests[id(flow)]
        ]
        answered = [(flow, text) for flow, text in requests if text in flow.answers]
        upstreams = list(self.system.upstreams.values())
        services = {BOARD_PORT: b"board", VAULT_PORT: b"vault"}
        misrouted = [
            flow
            for flow, text in answered
            if services[flow.target[1]] not in flow.answers[text]
        ]
        return {
            "requests": len(requests),
            "answered": len(answered),
            "wrong_service": len(misrouted),
            "flows": len(self.flows),
            "flows_reset": sum(flow.state == "reset" for flow in self.flows),
            "flows_not_opened": sum(flow.state == "not opened" for flow in self.flows),
            "changed_packets": sum(upstream.corrupted_packets for upstream in upstreams)
            + self.system.callers.corrupted_packets,
            "drain_acknowledged": any(
                upstream.acknowledged_drain for upstream in upstreams
            ),
            "store_calls": self.system.store.calls,
        }

    def _kill(self, subnet: int, number: int) -> None:
        self.system.kill(f"{self.system.network}.{subnet}.{number}")

    def _run_step(self, text: str, step: Callable[[], object]) -> None:
        self.report_event(text)
        step()

    def _open_flow(self, port: int) -> CallerFlow:
        flow = self.system.callers.open((ROUTE_IP, port))
        self.flows.append(flow)
        self.sent_requests[id(flow)] = []
        return flow

    def _open_long_flows(self) -> None:
        for port in ROUTES:
            for _ in range(LONG_FLOWS):
                self._open_flow(port)
        self.end_at = self.clock.seconds() + RUN_S
        self.clock.callLater(REQUEST_INTERVAL_S, self._send_requests)

    def _send_requests(self) -> None:
        """Sends a request on every third long flow and on one new flow."""
        if self.clock.seconds() >= self.end_at:
            return
        self.clock.callLater(REQUEST_INTERVAL_S, self._send_requests)
        for flow in self.flows[: 2 * LONG_FLOWS : 3]:
            if flow.state == "open":
                self._send_request(flow)
        short_flow = self._open_flow(
            BOARD_PORT if self.last_request % 3 else VAULT_PORT
        )
        short_flow.opened = lambda: self._send_request(short_flow)

    def _send_request(self, flow: CallerFlow) -> None:
        self.last_request += 1
        text = b"%d" % self.last_request
        self.sent_requests[id(flow)].append(text)
        flow.request(text)


def failed_checks(result: dict[str, Any]) -> list[str]:
    """Returns the guarantees that a run violated, as text."""
    checks = {
        "every request was answered": result["answered"] == result["requests"] > 0,
        "no request reached another service": result["wrong_service"] == 0,
        "no flow was reset": result["flows_reset"] == 0,
        "flows opened": result["flows_not_opened"] <= MAX_NOT_OPENED,
        "no packet was changed": result["changed_packets"] == 0,
        "the drain was acknowledged": result["drain_acknowledged"],
    }
    return [text for text, passed in checks.items() if not passed]


def run_direct_demo(*, seed: int) -> int:
    """Runs the demo; returns 0 if it violated no guarantee, else 1."""
    from twisted.internet import reactor as any_reactor

    # Importing the reactor installs it, so only programs do so.
    reactor: Any = any_reactor
    results: list[dict[str, Any]] = []

    def finish(result: dict[str, Any]) -> None:
        results.append(result)
        reactor.callLater(0, reactor.stop)

    demo = DirectDemo(reactor, seed=seed, report_event=click.echo)
    reactor.callWhenRunning(demo.run, finish)
    reactor.run()
    failures = failed_checks(results[0]) if results else ["the run was interrupted"]
    for failure in failures:
        click.echo(f"check failed: {failure}")
    click.echo(msgspec.json.encode(results).decode())
    return 1 if failures else 0


@click.command()
@click.option("--seed", type=int, default=1, help="Seed of the store's random source.")
def main(seed: int) -> None:
    """Runs balancers and agents on stand-ins of the platform."""
    raise SystemExit(run_direct_demo(seed=seed))


if __name__ == "__main__":
    main()
