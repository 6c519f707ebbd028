"""Applies one-line faults to a copy of the sources and runs the tests on each.

A fault that no test catches shows a promise that no test watches. Usage:
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
CORE = Path("src/bramleydyke/core")
TIMEOUT_S = 600


@dataclass(frozen=True, slots=True)
class Mutation:
    """A one-line fault: ``line`` of a file is replaced by ``fault``."""

    name: str
    file: str
    line: str
    fault: str


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
        "placer.py",
        "silent = placement.idempotent and placement.silent >= SILENT_OFFERS",
        "silent = placement.idempotent = placement.silent >= SILENT_OFFERS",
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
        "self._hand_over_unknown(query, now=now)",
        "pass",
    ),
    Mutation(
        "skip_record_queries",
        "keyed_requests.py",
        "if not self._unasked(record, now=now):",
        "if True:",
    ),
    Mutation(
        "new_home_without_queries",
        "keyed_requests.py",
        "if offer.first_attempt and self._known_everywhere(now):",
        "if offer.first_attempt:",
    ),
    Mutation(
        "trust_first_attempt_after_pause",
        "request_edge.py",
        "first = message.first_attempt and not self.stalls.doubtful(now=now)",
        "first = message.first_attempt",
    ),
    Mutation(
        "run_offer_that_waited",
        "request_server.py",
        "if self.draining or self.stalls.doubtful(now=now):",
        "if self.draining:",
    ),
    Mutation(
        "start_after_deadline",
        "request_work.py",
        "if now >= record.deadline:",
        "if False:",
    ),
    Mutation(
        "accept_from_another_agent",
        "placer.py",
        "or message.incarnation != placement.incarnation\n"
        "            or sender != self._node(placement)",
        "or message.incarnation != placement.incarnation",
    ),
    Mutation(
        "forget_earlier_incarnation",
        "keyed_requests.py",
        "remembers = query.first_attempt or self._remembers_all(now)",
        "remembers = True",
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
        "self._ended.set(record.request_id, now + RECORD_RETENTION_S)",
        "self._ended.set(record.request_id, now)",
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
        "return self.work.fail(record, kind, now=now) + ",
        "return self.work.drop(record, ErrorKind.SHED, now=now) + ",
    ),
    Mutation(
        "ignore_deadline",
        "placer.py",
        "self.timers.set(placement.number, min(at, placement.deadline))",
        "self.timers.set(placement.number, at)",
    ),
]


def apply(mutation: Mutation, root: Path) -> None:
    """Replaces the line in a copy; it must occur exactly once."""
    path = root / CORE / mutation.file
    text = path.read_text()
    if text.count(mutation.line) != 1:
        raise SystemExit(f"{mutation.name}: the line is not unique in {path.name}")
    path.write_text(text.replace(mutation.line, mutation.fault))


def run_tests(root: Path, histories: int) -> list[str]:
    """Returns the tests and scenarios that fail on a copy."""
    environment = os.environ | {
        "PYTHONPATH": str(root / "src"),
        "PYTHONDONTWRITEBYTECODE": "1",
        "HISTORIES": str(histories),
    }
    pytest = ["pytest", "-q", "-p", "no:cacheprovider", "tests/history"]
    behave = ["behave", "--format", "progress", "features"]
    failed: list[str] = []
    for command in (pytest, behave):
        try:
            done = subprocess.run(
                [sys.executable, "-m", *command],
                cwd=root,
                env=environment,
                capture_output=True,
                text=True,
                timeout=TIMEOUT_S,
            )
        except subprocess.TimeoutExpired:
            failed.append(f"{command[0]} did not end")
            continue
        failed += re.findall(r"^FAILED \S+::(\S+)", done.stdout, re.M)
        failed += re.findall(r"^  features/(\S+:\d+)", done.stdout, re.M)
    return list(dict.fromkeys(failed))


def check(mutation: Mutation | None, histories: int) -> list[str]:
    """Runs the tests on a copy with one fault, or on an unchanged copy."""
    with tempfile.TemporaryDirectory() as name:
        root = Path(name)
        for part in ("src", "tests", "features", "pyproject.toml"):
            source = ROOT / part
            copy = shutil.copytree if source.is_dir() else shutil.copy
            copy(source, root / part)
        if mutation is not None:
            apply(mutation, root)
        return run_tests(root, histories)


def main() -> int:
    """Prints the tests that catch each fault; returns 1 if one escapes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="faults to apply; default: all")
    parser.add_argument("--histories", type=int, default=2000)
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    names = options.names or [item.name for item in MUTATIONS]
    chosen = [item for item in MUTATIONS if item.name in names]
    if len(chosen) < len(names):
        parser.error(f"faults are {[item.name for item in MUTATIONS]}")
    with ThreadPoolExecutor(options.jobs) as pool:
        cases: list[Mutation | None] = [None, *chosen]
        results = list(pool.map(lambda item: check(item, options.histories), cases))
    unchanged, *caught = results
    print(f"unchanged: {', '.join(unchanged) or 'passes'}")
    for mutation, failed in zip(chosen, caught, strict=True):
        print(f"{mutation.name}: {', '.join(failed) or 'NOT CAUGHT'}")
    return 1 if unchanged or not all(caught) else 0


if __name__ == "__main__":
    sys.exit(main())
