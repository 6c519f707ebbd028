"""Timeline of the demo: traffic, faults and configuration changes."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgspec

from bramleydyke.constants import DRAIN_NOTICE_S
from bramleydyke.core.config import ServiceConfig
from bramleydyke.daemons.environment import Environment
from bramleydyke.demo.deployment import Deployment, service_config
from bramleydyke.demo.endpoints import free_endpoint
from bramleydyke.demo.sheets import SheetWriter
from bramleydyke.demo.system import DemoSystem
from bramleydyke.demo.traffic import TRAFFIC_BY_PROTOCOL, Traffic, total_counts
from bramleydyke.standins.platform import Faults
from bramleydyke.types import PartnerId, ServiceId, UpstreamId

BALANCERS = ("b1", "b2", "b3", "b4")
"""Names of all balancers; the last one joins while traffic runs."""

OUTAGE_S = 3.0
"""Duration of the platform outage in seconds."""

FINISH_TIMEOUT_S = 15.0
"""Longest wait for open work and sheets after traffic has stopped."""

REDUCED_SERVICE = ServiceId("federation/bourse-beurre")
"""Service whose first upstream is drained and later removed from the sheet."""

CHANGED_SERVICES = (
    REDUCED_SERVICE,
    ServiceId("federation/bulletin-laitier"),
    ServiceId("federation/price-board"),
)
"""Services in which one upstream is drained and another gets a new weight.

There is one of each protocol.
"""


class Scenario:
    """One run of the demo.

    Attributes:
        report_event: Prints a line about each event.
        finish: Called with the result at the end.
        sheets: Services of each partner, as in its current sheet.
        failures: Errors and unmet conditions, as text.
    """

    def __init__(
        self,
        *,
        environment: Environment,
        deployments: list[Deployment],
        seed: int,
        report_event: Callable[[str], None],
        finish: Callable[[dict[str, Any]], None],
    ) -> None:
        self.environment = environment
        self.clock = environment.clock
        self.seed = seed
        self.report_event = report_event
        self.finish = finish
        self.started_at = self.clock.seconds()
        self.sheets = {
            item.partner: {
                config.service_id: config
                for config in (
                    service_config(item, service, address=free_endpoint())
                    for service in item.services
                )
            }
            for item in deployments
        }
        self.zones = [zone for item in deployments for zone in item.places]
        self.system = DemoSystem(
            environment=environment,
            seed=seed,
            partners=list(self.sheets),
            balancer_names=BALANCERS,
        )
        self.writers: dict[PartnerId, SheetWriter] = {}
        self.traffic: list[Traffic] = []
        self.failures: list[str] = []

    def timeline(self) -> list[tuple[float, str, Callable[[], None]]]:
        """Returns time in seconds, description and handler of each event."""
        return [
            (0.0, "platform, balancers, upstreams and agents start", self._start_nodes),
            (
                0.5,
                "both partners apply their first sheet",
                self._write_first_sheets,
            ),
            (2.0, "traffic starts", self._start_traffic),
            (5.0, "the studio applies a new sheet", self._add_upstream),
            (8.0, "a balancer is killed", lambda: self.system.kill_balancer("b1")),
            (10.0, "a balancer joins", self._add_balancer),
            (12.0, "an upstream of each protocol is drained", self._drain_upstreams),
            (15.0, "a weight of each protocol changes", self._change_weights),
            (17.0, "the platform has an outage", lambda: self._set_outage(True)),
            (
                17.0 + OUTAGE_S,
                "the platform is available again",
                lambda: self._set_outage(False),
            ),
            (
                21.0,
                "the federation applies a new sheet",
                self._remove_drained_upstream,
            ),
            (24.0, "traffic stops", self._stop_traffic),
        ]

    def run(self) -> None:
        """Schedules all events."""
        for at, text, event in self.timeline():
            self.clock.callLater(at, self._run_event, text, event)

    def _run_event(self, text: str, event: Callable[[], None]) -> None:
        self.report_event(f"{self.clock.seconds() - self.started_at:5.1f} s  {text}")
        try:
            event()
        except Exception as error:
            self.failures.append(f"{text}: {error!r}")

    def _start_nodes(self) -> None:
        self.system.start_platform()
        for service in self._services():
            self.system.add_service(service)
        for name, zone in zip(BALANCERS[:-1], self.zones, strict=False):
            self.system.add_balancer(name, zone=zone)

    def _write_first_sheets(self) -> None:
        for partner_id in self.sheets:
            self.writers[partner_id] = SheetWriter(
                partner_id=partner_id,
                client=self.system.operator_client(partner_id),
                clock=self.clock,
                in_force=self.system.in_force,
            )
            self._write_sheet(partner_id)

    def _write_sheet(self, partner_id: PartnerId) -> None:
        services = self.sheets[partner_id].values()
        call = self.writers[partner_id].write(services)
        call.addErrback(lambda failure: self.failures.append(failure.getErrorMessage()))

    def _start_traffic(self) -> None:
        for service in self._services():
            source = random.Random(f"{self.seed}/{service.service_id}")
            make_traffic = TRAFFIC_BY_PROTOCOL[service.protocol]
            self.traffic.append(make_traffic(self.system, service, source))
        for item in self.traffic:
            item.start()

    def _services(self) -> list[ServiceConfig]:
        return [item for sheet in self.sheets.values() for item in sheet.values()]

    def _add_upstream(self) -> None:
        """Adds an upstream to one of the studio's services."""
        service = self.sheets[PartnerId("studio")][ServiceId("studio/frame-vault")]
        spec = msgspec.structs.replace(
            service.upstreams[0], upstream_id=UpstreamId("frame-vault-new")
        )
        self._change_service(service, upstreams=(*service.upstreams, spec))
        self.system.add_upstream(service, spec)

    def _add_balancer(self) -> None:
        self.system.add_balancer(BALANCERS[-1], zone=self.zones[-1])

    def _drain_upstreams(self) -> None:
        for service_id in CHANGED_SERVICES:
            upstream_id = self._federation_service(service_id).upstreams[0].upstream_id
            self.system.drain_agent(upstream_id, notice_s=DRAIN_NOTICE_S)

    def _change_weights(self) -> None:
        sheet = self.sheets[PartnerId("federation")]
        for service_id in CHANGED_SERVICES:
            service = self._federation_service(service_id)
            heavier = msgspec.structs.replace(service.upstreams[1], weight=2.0)
            upstreams = (service.upstreams[0], heavier, *service.upstreams[2:])
            sheet[service_id] = msgspec.structs.replace(service, upstreams=upstreams)
        self._write_sheet(PartnerId("federation"))

    def _remove_drained_upstream(self) -> None:
        """Removes the drained upstream from the sheet."""
        service = self._federation_service()
        self._change_service(service, upstreams=service.upstreams[1:])

    def _federation_service(
        self, service_id: ServiceId = REDUCED_SERVICE
    ) -> ServiceConfig:
        return self.sheets[PartnerId("federation")][service_id]

    def _change_service(self, service: ServiceConfig, **fields: Any) -> None:
        changed = msgspec.structs.replace(service, **fields)
        self.sheets[service.partner_id][service.service_id] = changed
        self._write_sheet(service.partner_id)

    def _set_outage(self, outage: bool) -> None:
        self.system.platform.set_faults(Faults(outage=outage))

    def _stop_traffic(self) -> None:
        for item in self.traffic:
            item.stop()
        self._finish_when_idle(self.clock.seconds() + FINISH_TIMEOUT_S)

    def _finish_when_idle(self, deadline: float) -> None:
        """Finishes once no work is open and all sheets are in force.

        At the deadline the run finishes anyway and counts as failed.
        """
        pending = sum(writer.pending for writer in self.writers.values())
        ended = all(item.ended() for item in self.traffic) and pending == 0
        if not ended and self.clock.seconds() < deadline:
            self.clock.callLater(0.1, self._finish_when_idle, deadline)
            return
        if not ended:
            self.failures.append("work or sheets were still open at the end")
        self.system.stop()
        self.finish(self.result())

    def result(self) -> dict[str, Any]:
        """Returns the counts of the run so far."""
        counts = total_counts(self.traffic)
        in_force = [
            seconds for item in self.writers.values() for seconds in item.in_force_s
        ]
        work_counts = self.system.work_counts
        return {
            "seed": self.seed,
            "requests": counts["requests"],
            "answered": counts["answered"],
            "refused_not_run": counts["refused_not_run"],
            "unknown": counts["unknown"],
            "wrong_answer": counts["wrong_answer"],
            "ran_twice": work_counts.count_repeated_runs(),
            "downloads": counts["downloads"],
            "refused_connections": counts["refused_connections"],
            "flows": counts["flows"],
            "broken_flows": counts["broken_flows"],
            "flows_lost_with_balancer": counts["flows_lost_with_balancer"],
            "wrong_service": counts["wrong_service"]
            + work_counts.wrong_service
            + work_counts.unrecognised,
            "generations": len(in_force),
            "generation_in_force_s": round(max(in_force, default=0.0), 3),
            "failures": self.failures,
        }
