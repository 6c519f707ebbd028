"""Mutation testing: checks that the tests detect known one-line faults.

Runs the tests on one copy of the sources for each fault. A fault that no test
detects reveals behaviour that is not tested. Usage:
``python scripts/mutation_check.py [--histories N] [--jobs N] [NAME ...]``.
"""

from __future__ import annotations

import argparse
import os
import re
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = Path("src/bramleydyke")
TIMEOUTS_S = {"core": 600, "direct": 120}
"""Limit for each test command; a command that exceeds it has failed."""


@dataclass(frozen=True, slots=True)
class Mutation:
    """A fault made by replacing one piece of text in a source file.

    Attributes:
        name: Name on the command line and in the output.
        file: File of the package, without its folder.
        line: Text to replace; empty to leave the copy unchanged.
        fault: Text that replaces it.
        package: Subpackage of ``bramleydyke``; determines which tests run.
    """

    name: str
    file: str
    line: str
    fault: str
    package: str = "core"


MUTATIONS = [
    Mutation(
        "skip_incarnation_check",
        "request_server.py",
        "if offer.incarnation != self.incarnation and not known:",
        "if False:",
    ),
    Mutation(
        "run_refused_offer",
        "request_server.py",
        "if refused is not None:",
        "if False:",
    ),
    Mutation(
        "lower_refused_ask",
        "records.py",
        "if known is None or ask > known.ask:",
        "if True:",
    ),
    Mutation(
        "retry_non_idempotent",
        "placement.py",
        "unresponsive = (\n            self.idempotent and ",
        "unresponsive = self.idempotent = (\n            ",
    ),
    Mutation(
        "ignore_may_have_run",
        "placement.py",
        "if self.may_have_run:",
        "if False:",
    ),
    Mutation(
        "ignore_earlier_attempt",
        "placement.py",
        "return ErrorKind.RECORD_UNKNOWN if self.earlier_may_have_run else kind",
        "return kind",
    ),
    Mutation(
        "ignore_hand_over",
        "keyed_requests.py",
        "self._record_as_handed_over(query, now=now)",
        "pass",
    ),
    Mutation(
        "skip_record_queries",
        "keyed_requests.py",
        "if not self._peers_without_reply(record, now=now):",
        "if True:",
    ),
    Mutation(
        "new_home_without_queries",
        "keyed_requests.py",
        "if offer.first_attempt and self._announcement_has_spread(now):",
        "if offer.first_attempt:",
    ),
    Mutation(
        "trust_first_attempt_after_pause",
        "request_edge.py",
        "first = message.first_attempt and not "
        "self.pause_detector.recent_pause(now=now)",
        "first = message.first_attempt",
    ),
    Mutation(
        "run_offer_that_waited",
        "request_server.py",
        "if self.draining or self.pause_detector.recent_pause(now=now):",
        "if self.draining:",
    ),
    Mutation(
        "start_after_deadline",
        "request_executor.py",
        "if now >= record.deadline:",
        "if False:",
    ),
    Mutation(
        "accept_from_another_agent",
        "placer.py",
        "or message.incarnation != placement.incarnation\n"
        "            or sender != placement.node_id",
        "or message.incarnation != placement.incarnation",
    ),
    Mutation(
        "forget_earlier_incarnation",
        "keyed_requests.py",
        "certain = query.first_attempt or self._records_complete(now)",
        "certain = True",
    ),
    Mutation(
        "accept_older_refusal",
        "placer.py",
        "or message.ask != placement.ask",
        "or False",
    ),
    Mutation(
        "deliver_to_another",
        "placer.py",
        "return [] if placement is None else self._end(placement, message, now=now)",
        "return self._end(next(iter(self.pending.values())), message, now=now)"
        " if self.pending else []",
    ),
    Mutation(
        "forget_records_at_once",
        "records.py",
        "self._record_expiry.set(record.request_id, now + RECORD_RETENTION_S)",
        "self._record_expiry.set(record.request_id, now)",
    ),
    Mutation(
        "silence_is_not_run",
        "placer.py",
        "return sent + self._end(placement, ErrorKind.AGENT_SILENT, now=now)",
        "return sent + self._end(placement, ErrorKind.DEADLINE, now=now)",
    ),
    Mutation(
        "failure_is_not_run",
        "request_server.py",
        "return self.executor.fail(record, kind, now=now) + ",
        "return self.executor.drop(record, ErrorKind.SHED, now=now) + ",
    ),
    Mutation(
        "ignore_deadline",
        "placer.py",
        "self.timers.set(placement.number, min(at, placement.deadline))",
        "self.timers.set(placement.number, at)",
    ),
    Mutation(
        "accept_while_draining",
        "admission.py",
        "    UpstreamState.DRAINING: ErrorKind.DRAINING,\n",
        "",
        "direct",
    ),
    Mutation(
        "accept_other_service",
        "admission.py",
        "        if service != self.service:",
        "        if False:",
        "direct",
    ),
    Mutation(
        "never_try_the_upstream",
        "agent.py",
        "known = self.view.started_after_agent or now",
        "known = True or now",
        "direct",
    ),
    Mutation(
        "keep_flows_of_an_earlier_lifetime",
        "agent.py",
        "if 0 < flow.lifetime < lifetime:",
        "if False:",
        "direct",
    ),
    Mutation(
        "count_requests_for_ever",
        "admission.py",
        'may get another request now."""\n'
        "        self.flows.expire_requests(now=now)\n",
        'may get another request now."""\n',
        "direct",
    ),
    Mutation(
        "accept_without_limit",
        "admission.py",
        "        return load.requests < REQUESTS_PER_SLOT\n",
        "        return True\n",
        "direct",
    ),
    Mutation(
        "late_copy_replaces_an_open_flow",
        "agent.py",
        "if packet.copies or not (flow.finished or refused):",
        "if packet.copies or flow.first_sequence is None:",
        "direct",
    ),
    Mutation(
        "stay_silent_after_a_restart",
        "upstream_reports.py",
        "        elif self.view.report is None:\n            self.announce(now=now)\n",
        "",
        "direct",
    ),
    Mutation(
        "keep_waiting_flows_while_draining",
        "agent.py",
        "        self.admission.check_queue(now=now)\n",
        "",
        "direct",
    ),
    Mutation(
        "oldest_waiting_flow_first",
        "opening_queue.py",
        "return (self.priority, -self.arrived_at)",
        "return (self.priority, self.arrived_at)",
        "direct",
    ),
    Mutation(
        "probe_before_all_were_asked",
        "lookups.py",
        "return not lookup.stages or len(lookup.to_probe) <= MAX_EARLY_PROBES",
        "return True",
        "direct",
    ),
    Mutation(
        "reset_without_knowing_all",
        "lookups.py",
        "certain = self.directory.complete and not lookup.partial",
        "certain = not lookup.partial",
        "direct",
    ),
    Mutation(
        "reset_before_all_answered",
        "lookups.py",
        "dead = certain and not unknown",
        "dead = certain",
        "direct",
    ),
    Mutation(
        "try_all_upstreams_at_once",
        "lookups.py",
        "            if probe:\n                forward",
        "            if True:\n                forward",
        "direct",
    ),
    Mutation(
        "ask_only_the_services_agents",
        "lookups.py",
        "others = rest if partial else rest + elsewhere",
        "others = rest",
        "direct",
    ),
    Mutation(
        "no_second_agent",
        "openings.py",
        "            self._ask_next(flow, now=now)\n\n    def _ask_next",
        "            del self.waiting[flow]\n\n    def _ask_next",
        "direct",
    ),
    Mutation(
        "refuse_instead_of_waiting",
        "openings.py",
        "full = len(self.parked) >= MAX_PARKED",
        "full = True",
        "direct",
    ),
    Mutation(
        "accept_foreign_announcements",
        "balancer.py",
        "case Announcement() if message.node != sender:",
        "case Announcement() if False:",
        "direct",
    ),
    Mutation(
        "bring_removed_upstreams_back",
        "directory.py",
        "revision=announcement.revision + 1,",
        "revision=announcement.revision,",
        "direct",
    ),
    Mutation(
        "relay_equal_announcements",
        "directory.py",
        "(announcement.order() == old.order() and not from_agent)",
        "False",
        "direct",
    ),
    Mutation(
        "ignore_pauses",
        "balancer.py",
        "if paused_s <= MAX_PAUSE_S:",
        "if True:",
        "direct",
    ),
    Mutation(
        "trust_listings_from_before_a_pause",
        "registry.py",
        "self.directory.complete = called_at >= self.complete_from",
        "self.directory.complete = True",
        "direct",
    ),
    Mutation(
        "forget_to_remind_agents",
        "balancer.py",
        "        outdated = leaving and known.order() > announced.order()\n",
        "        outdated = False\n",
        "direct",
    ),
    Mutation(
        "drop_openings_at_a_stop",
        "balancer.py",
        "self.openings.hand_over(self.gossip.recent_peers(now=now), now=now)",
        "pass",
        "direct",
    ),
    Mutation(
        "give_up_silent_agents_early",
        "lookups.py",
        "lookup.patience_s = max(DEAD_AGENT_S, timeout_s)",
        "lookup.patience_s = DEAD_AGENT_S",
        "direct",
    ),
    Mutation(
        "reset_flows_when_cut_off",
        "lookups.py",
        "isolated = answered < MIN_ANSWERED_SHARE * len(lookup.services)",
        "isolated = False",
        "direct",
    ),
    Mutation(
        "keep_openings_of_callers_that_left",
        "openings.py",
        "deadline = arrived_at + min(PARK_S, route.timeout_s or PARK_S)",
        "deadline = arrived_at + PARK_S",
        "direct",
    ),
    Mutation(
        "end_later_lifetimes",
        "directory.py",
        "if entry.announcement.lifetime > lifetime:",
        "if False:",
        "direct",
    ),
    Mutation(
        "apply_late_announcements",
        "directory.py",
        "older = announcement.order() < old.order()",
        "older = False",
        "direct",
    ),
    Mutation(
        "apply_older_routes",
        "routes.py",
        "routes.version <= self.current.version",
        "False",
        "direct",
    ),
    Mutation(
        "refuse_with_stale_routes",
        "routes.py",
        "self.current is not None and now - self.confirmed_at <= within",
        "True",
        "direct",
    ),
    Mutation(
        "fetch_nothing_from_peers",
        "gossip.py",
        "self.fetch(notice.node, notice.version)",
        "pass",
        "direct",
    ),
    Mutation(
        "take_late_reports",
        "upstream_view.py",
        "            if report.sequence <= known.sequence:\n",
        "            if False:\n",
        "direct",
    ),
    Mutation(
        "take_the_second_report_for_the_first",
        "upstream_view.py",
        "FIRST_SEQUENCE = 1\n",
        "FIRST_SEQUENCE = 2\n",
        "direct",
    ),
    Mutation(
        "count_time_without_questions_as_silence",
        "directory.py",
        "        if now - entry.failed_at > MAX_SILENCE_GAP_S:\n    ",
        "        if False:\n    ",
        "direct",
    ),
    Mutation(
        "ask_silent_agents_once",
        "agent_checks.py",
        "            self.send(node, HolderQuery(service, [(NO_FLOW, 0)]))\n",
        "            pass\n",
        "direct",
    ),
    Mutation(
        "believe_an_earlier_start_at_once",
        "upstream_view.py",
        "return now - earlier.since >= CONFIRM_REPORTS * self.report_interval_s",
        "return True",
        "direct",
    ),
    Mutation(
        "accept_a_drain_that_was_not_applied",
        "upstream_reports.py",
        "if report.draining and self.view.state(now=now) not in LEAVING_STATES:",
        "if False:",
        "direct",
    ),
    Mutation(
        "keep_a_number_below_the_known_one",
        "balancer.py",
        "if outdated or known.lifetime > announced.lifetime:",
        "if outdated:",
        "direct",
    ),
    Mutation(
        "trust_a_recalled_drain",
        "upstream_view.py",
        "ready = self.stored_report is not None and not self.stored_report.draining",
        "ready = self.stored_report is not None",
        "direct",
    ),
    Mutation(
        "write_without_reading_again",
        "entry_writer.py",
        "        self.known = False\n        self._retry(status)",
        "        self._retry(status)",
        "direct",
    ),
    Mutation(
        "poll_nothing",
        "kind_watch.py",
        "            self.store.watch(self.kind, self.revision, 0.0, on_poll)",
        "            pass",
        "direct",
    ),
    Mutation(
        "continue_watches_across_a_restore",
        "kind_watch.py",
        "        if not self.listing:\n            self._list()",
        "        pass",
        "direct",
    ),
    Mutation(
        "remove_what_a_restored_store_lacks",
        "registry.py",
        "        if era is None:",
        "        if True:",
        "direct",
    ),
    Mutation(
        "believe_own_writes_after_a_restore",
        "entry_writer.py",
        "        self.read_again = self.busy\n        self._reconcile()",
        "        self.known = True",
        "direct",
    ),
    Mutation(
        "believe_a_write_during_a_restore",
        "entry_writer.py",
        "        self.known = not self.read_again",
        "        self.known = True",
        "direct",
    ),
    Mutation(
        "tell_no_agent_of_outdated_entries",
        "lost_entries.py",
        "            self.send(node, EntryOutdated(era, revision))",
        "            pass",
        "direct",
    ),
    Mutation(
        "leave_entries_of_ended_upstreams",
        "lost_entries.py",
        "                self.remove(node)",
        "                pass",
        "direct",
    ),
    Mutation(
        "confirm_by_an_older_configuration",
        "registry.py",
        "        if self.stored_version >= self.routes.version:",
        "        if True:",
        "direct",
    ),
    Mutation(
        "complete_before_lost_entries_return",
        "registry.py",
        "        self.complete_from = self.clock.seconds() + LOST_ENTRY_S",
        "        pass",
        "direct",
    ),
]


def apply(mutation: Mutation, root: Path) -> None:
    """Applies a mutation to the copy of the sources below ``root``.

    Raises:
        SystemExit: The text to replace does not occur exactly once.
    """
    path = root / PACKAGE / mutation.package / mutation.file
    text = path.read_text()
    if text.count(mutation.line) != 1:
        raise SystemExit(
            f"{mutation.name}: expected the line exactly once in {path.name}"
        )
    path.write_text(text.replace(mutation.line, mutation.fault))


def run_tests(root: Path, histories: int, package: str) -> list[str]:
    """Runs a package's tests on a copy of the sources.

    Args:
        root: Folder of the copy.
        histories: Number of random histories in the tests of ``core``.
        package: Package to test. Only ``core`` also runs the scenarios.

    Returns:
        Tests and scenarios that failed, and commands that timed out.
    """
    environment = os.environ | {
        "PYTHONPATH": str(root / "src"),
        "PYTHONDONTWRITEBYTECODE": "1",
        "HISTORIES": str(histories),
    }
    tests = "tests/history" if package == "core" else f"tests/{package}"
    pytest = ["pytest", "-q", "-p", "no:cacheprovider", tests]
    behave = ["behave", "--format", "progress", "features"]
    failed: list[str] = []
    for command in (pytest, behave) if package == "core" else (pytest,):
        try:
            completed = subprocess.run(
                [sys.executable, "-m", *command],
                cwd=root,
                env=environment,
                capture_output=True,
                text=True,
                timeout=TIMEOUTS_S[package],
            )
        except subprocess.TimeoutExpired:
            failed.append(f"{command[0]} timed out")
            continue
        failed += re.findall(r"^FAILED \S+::(\S+)", completed.stdout, re.M)
        failed += re.findall(r"^  features/(\S+:\d+)", completed.stdout, re.M)
    return list(dict.fromkeys(failed))


def run_mutation(mutation: Mutation, histories: int) -> list[str]:
    """Runs the tests on a mutated copy; returns those that failed.

    The copy is left unchanged if the mutation has no line to replace.
    """
    with tempfile.TemporaryDirectory() as name:
        root = Path(name)
        for part in ("src", "tests", "features", "pyproject.toml"):
            source = ROOT / part
            copy = shutil.copytree if source.is_dir() else shutil.copy
            copy(source, root / part)
        if mutation.line:
            apply(mutation, root)
        return run_tests(root, histories, mutation.package)


def main() -> int:
    """Prints the tests that detect each fault.

    Returns:
        Exit code: 1 if a fault is not detected or the unchanged sources fail.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="mutations to run; default: all")
    parser.add_argument("--histories", type=int, default=2000)
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    names = options.names or [item.name for item in MUTATIONS]
    selected = [item for item in MUTATIONS if item.name in names]
    if len(selected) < len(names):
        parser.error(
            f"unknown mutation; choose from {[item.name for item in MUTATIONS]}"
        )
    packages = sorted({item.package for item in selected})
    unchanged = [Mutation("unchanged", "", "", "", name) for name in packages]
    cases = [*unchanged, *selected]
    with ThreadPoolExecutor(options.jobs) as pool:
        results = list(
            pool.map(lambda item: run_mutation(item, options.histories), cases)
        )
    unexpected = False
    for case, failed in zip(cases, results, strict=True):
        expected = "passes" if case in unchanged else "NOT CAUGHT"
        unexpected = unexpected or bool(failed) == (case in unchanged)
        print(f"{case.package} {case.name}: {', '.join(failed) or expected}")
    return 1 if unexpected else 0


if __name__ == "__main__":
    sys.exit(main())
