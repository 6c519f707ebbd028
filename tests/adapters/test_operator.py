"""Tests of the operator's commands against a simulated platform."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import click
import msgspec
import pytest
from click.testing import CliRunner, Result
from reactor_harness import reactor
from test_platform import PlatformHarness

from bramleydyke.adapters import platform_session
from bramleydyke.cli.exits import ExitCode
from bramleydyke.cli.main import main
from bramleydyke.core.config import PartnerConfig
from bramleydyke.core.drain import DrainObject
from bramleydyke.core.sheet import CSV_COLUMNS
from bramleydyke.core.status import PartnerStatus, ZoneStatus
from bramleydyke.errors import ErrorKind
from bramleydyke.standins.platform import Faults
from bramleydyke.types import AvailabilityZone, Generation, NodeId, PartnerId

ROOT = Path(__file__).parents[2]
SHEET = "sheets/federation"
DRAIN = "drains/federation/bourse-beurre/bb-1"


class Operator:
    """Runs commands with the settings and sheets of one operator."""

    def __init__(self, store: PlatformHarness, directory: Path) -> None:
        self.store = store
        self.directory = directory
        self.settings = directory / "operator.json"
        access = {"url": f"http://{store.endpoint}", "credential": "fed"}
        content = {"partner": "federation", "platform": access}
        self.settings.write_bytes(msgspec.json.encode(content))

    def sheet(self, *weights: float, port: int = 9000) -> str:
        rows = [
            f"bourse-beurre,http,127.0.0.1:{port},bb-{number},meknes,{weight},2"
            for number, weight in enumerate(weights, start=1)
        ]
        path = self.directory / f"sheet-{port}-{'-'.join(map(str, weights))}.csv"
        path.write_text("\n".join([",".join(CSV_COLUMNS), *rows]) + "\n")
        return str(path)

    def run(self, *words: str, answer: str | None = None) -> Result:
        command = [*words, "--settings", str(self.settings)]
        return CliRunner().invoke(main, command, input=answer)

    def apply(self, *weights: float, **options: Any) -> dict[str, Any]:
        """Applies a sheet and returns the JSON report and the exit code."""
        result = self.run("sheet", "apply", self.sheet(*weights), "--yes", "--json")
        return msgspec.json.decode(result.stdout) | {"code": result.exit_code}

    def stored(self) -> PartnerConfig:
        value = self.store.server.store.get(SHEET).value
        return msgspec.json.decode(value, type=PartnerConfig)

    def report(self, **changes: Any) -> None:
        """Writes a zone's status object, as the zone's lease holder does."""
        fields = {
            "generation": Generation(1),
            "balancers": {1: 2},
            "agents": {1: 1},
            "in_force": True,
            "for_s": 3.0,
            "announced": 1,
            "missing": {"federation/bourse-beurre/bb-2": 7.0},
            "draining": {},
            "suspect": {},
            "undeclared": {"federation/bourse-beurre/bb-9": 2.0},
        }
        replied = changes.pop("replied", 2)
        status = ZoneStatus(
            zone=AvailabilityZone("meknes"),
            writer=NodeId("balancer/b1"),
            token=1,
            balancers=2,
            replied=replied,
            partners={PartnerId("federation"): PartnerStatus(**fields | changes)},
        )
        objects = self.store.server.store
        version = objects.version("status/meknes")
        assert objects.put(
            "status/meknes", msgspec.json.encode(status), expected=version
        )


@pytest.fixture()
def operator(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Operator]:
    monkeypatch.setattr(platform_session, "PAUSE_CAP_S", 0.0)
    store = PlatformHarness()
    yield Operator(store, tmp_path)
    store.server.stop()


def lose_answer_then_fail(
    store: PlatformHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Lets the next write succeed, drops its response and starts an outage."""
    put: Callable[..., bool] = store.server.store.put

    def once(*args: Any, **options: Any) -> bool:
        store.server.set_faults(Faults(outage=True, lose_answers=1))
        return put(*args, **options)

    monkeypatch.setattr(
        type(store.server.store), "put", lambda _, *a, **o: once(*a, **o)
    )


def test_check_names_every_fault_of_a_table_by_row(tmp_path: Path) -> None:
    """Guards against a check that stops at the first fault."""
    path = tmp_path / "sheet.csv"
    rows = [
        "a,http,127.0.0.1:9000,u,meknes,heavy,2",
        "a,http,127.0.0.1:9000,u,f es,1,0",
    ]
    path.write_text("\ufeff" + "\n".join([",".join(CSV_COLUMNS), *rows, "a,b"]) + "\n")
    command = ["sheet", "check", str(path), "--partner", "federation"]
    result = CliRunner().invoke(main, command)
    assert result.exit_code == ExitCode.REFUSED
    lines = result.stderr.splitlines()
    found = {tuple(line.split(": ")[2:4]) for line in lines}
    expected = {("row 2", "weight"), ("row 4", "row")}
    assert found == expected | {
        ("row 3", name) for name in ("upstream", "place", "slots")
    }
    assert any("not that of row 2" in line for line in lines)
    json_report = msgspec.json.decode(
        CliRunner().invoke(main, [*command, "--json"]).stdout
    )
    assert len(json_report["faults"]) == len(lines) == 5


def test_check_accepts_the_example_and_names_an_unknown_suffix(tmp_path: Path) -> None:
    """Guards against an invalid example and against guessing a file format."""
    check = ["sheet", "check", "--partner", "federation"]
    example = str(ROOT / "examples" / "local" / "sheet.csv")
    assert CliRunner().invoke(main, [*check, example]).exit_code == ExitCode.HOLDS
    result = CliRunner().invoke(main, [*check, str(tmp_path / "sheet.xlsx")])
    assert result.exit_code == ExitCode.REFUSED and ".json or .csv" in result.stderr


def test_apply_asks_and_can_be_repeated(operator: Operator) -> None:
    """Guards against changes without confirmation or applied twice."""
    words = ("sheet", "apply", operator.sheet(1, 1))
    refused = operator.run(*words, answer="n\n")
    assert refused.exit_code == ExitCode.DOES_NOT_HOLD
    assert operator.store.server.store.version(SHEET) == 0
    accepted = operator.run(*words, answer="y\n")
    assert accepted.exit_code == ExitCode.HOLDS
    assert "+ federation/bourse-beurre" in accepted.output
    again = operator.apply(1, 1)
    assert (again["code"], again["generation"]) == (ExitCode.HOLDS, 1)
    assert operator.store.server.store.version(SHEET) == 1


def test_a_change_id_belongs_to_one_sheet(operator: Operator) -> None:
    """Guards against a sheet that is reported as applied but is not.

    A repeated change id means a repetition, so another sheet with the same id
    must be rejected.
    """
    for weight, code in (
        (1, ExitCode.HOLDS),
        (1, ExitCode.HOLDS),
        (2, ExitCode.REFUSED),
    ):
        sheet = operator.sheet(weight)
        words = ("sheet", "apply", sheet, "--yes", "--change-id", "monday")
        assert operator.run(*words).exit_code == code
    assert operator.stored().services[0].upstreams[0].weight == 1


def test_store_down_is_a_refusal(operator: Operator) -> None:
    """Guards against an outage that is reported as unknown or as success."""
    operator.store.server.set_faults(Faults(outage=True))
    json_report = operator.apply(1)
    assert (json_report["code"], json_report["kind"]) == (
        ExitCode.REFUSED,
        "store_unavailable",
    )
    assert operator.run("drain", "balancer/b1").exit_code == ExitCode.REFUSED
    status = operator.run("sheet", "status")
    assert status.exit_code == ExitCode.UNKNOWN
    assert len(status.stderr.splitlines()) == 1


def test_answer_lost_after_effect_is_read_back(operator: Operator) -> None:
    """Guards against an accepted sheet that is reported as a conflict.

    When the response to a write is lost, the command reads the sheet back.
    """
    operator.apply(1)
    operator.store.server.set_faults(Faults(lose_answers=1))
    json_report = operator.apply(2)
    assert (json_report["code"], json_report["generation"]) == (ExitCode.HOLDS, 2)
    assert operator.store.server.store.version(SHEET) == 2


def test_answer_lost_for_good_is_unknown_until_it_is_repeated(
    operator: Operator, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a definite result for a write that cannot be verified."""
    operator.apply(1)
    with monkeypatch.context() as patch:
        lose_answer_then_fail(operator.store, patch)
        json_report = operator.apply(2)
    assert (json_report["code"], json_report["result"]) == (ExitCode.UNKNOWN, "unknown")
    operator.store.server.set_faults(Faults())
    json_report = operator.apply(2)
    assert (json_report["code"], json_report["generation"]) == (ExitCode.HOLDS, 2)
    assert operator.store.server.store.version(SHEET) == 2


def test_loser_of_a_race_sees_what_the_winner_changed(
    operator: Operator, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against overwriting the concurrent change of another operator."""
    operator.apply(1, 1)

    def confirm(*_: Any, **__: Any) -> bool:
        assert operator.apply(5, 1)["code"] == ExitCode.HOLDS
        return True

    monkeypatch.setattr(click, "confirm", confirm)
    loser = operator.run("sheet", "apply", operator.sheet(1, 7))
    assert loser.exit_code == ExitCode.REFUSED
    assert "generation 2 was accepted first" in loser.stdout
    assert "bb-1 weight=1 slots=2 place=meknes -> weight=5" in loser.stdout
    assert "conflict" in loser.stderr
    assert [spec.weight for spec in operator.stored().services[0].upstreams] == [5, 1]


def test_status_compares_the_sheet_with_what_holds(operator: Operator) -> None:
    """Guards against reporting a sheet as in force while a node lacks it."""
    operator.apply(1, 1)
    assert operator.run("sheet", "status").exit_code == ExitCode.DOES_NOT_HOLD
    for changes in ({"replied": 1}, {"in_force": False}, {"generation": 0}):
        operator.report(**changes)
        assert operator.run("sheet", "status").exit_code == ExitCode.DOES_NOT_HOLD, (
            changes
        )
    operator.report()
    result = operator.run("sheet", "status", "--json")
    assert result.exit_code == ExitCode.HOLDS
    [row] = msgspec.json.decode(result.stdout)["services"]
    assert (row["declared"], row["announced"]) == (2, 1)
    assert (row["missing"], row["undeclared"]) == ({"bb-2": 7.0}, {"bb-9": 2.0})
    table = operator.run("sheet", "status").stdout
    assert "bb-2 (7 s)" in table and "in force" in table


def test_status_waits_until_in_force(operator: Operator) -> None:
    """Guards against ``--wait`` that misses the change or never returns."""
    operator.apply(1)
    assert operator.run("sheet", "status", "--wait", "0.2").exit_code == 1
    reactor.callLater(0.2, operator.report)
    assert operator.run("sheet", "status", "--wait", "8").exit_code == ExitCode.HOLDS


def test_drain_and_undrain(operator: Operator) -> None:
    """Guards against a drain command that is lost or names the wrong node."""
    operator.apply(1)
    objects = operator.store.server.store
    for command, draining, version in (
        ("drain", True, 1),
        ("drain", True, 1),
        ("undrain", False, 2),
    ):
        operator.store.server.set_faults(Faults(lose_answers=1))
        assert operator.run(command, "bourse-beurre/bb-1").exit_code == ExitCode.HOLDS
        found = objects.get(DRAIN)
        order = msgspec.json.decode(found.value, type=DrainObject)
        node = NodeId("agent/federation/bourse-beurre/bb-1")
        assert order == DrainObject(node_id=node, draining=draining)
        assert found.version == version
    assert operator.run("drain", "bourse-beurre/bb-7").exit_code == ExitCode.REFUSED
    assert operator.run("drain", "bb-1").exit_code == ExitCode.USAGE


def test_drain_waits_until_no_work_is_left(operator: Operator) -> None:
    """Guards against ``--wait`` that returns because of an earlier drain.

    The status may still name the node as drained after an undrain.
    """
    operator.apply(1)
    name = "federation/bourse-beurre/bb-1"
    words = ("drain", "bourse-beurre/bb-1", "--wait")
    assert (
        operator.run("drain", "balancer/b1", "--wait", "1").exit_code == ExitCode.USAGE
    )
    operator.report(draining={name: 1.0})
    assert operator.run(*words, "0.2").exit_code == ExitCode.DOES_NOT_HOLD
    reactor.callLater(0.2, operator.report, draining={name: 6.0}, drained=(name,))
    assert operator.run(*words, "8").exit_code == ExitCode.HOLDS
    operator.run("undrain", "bourse-beurre/bb-1")
    assert operator.run(*words, "0.2").exit_code == ExitCode.DOES_NOT_HOLD


def test_drain_with_its_answer_lost_for_good_is_unknown(
    operator: Operator, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a definite result for a drain that cannot be verified."""
    with monkeypatch.context() as patch:
        lose_answer_then_fail(operator.store, patch)
        assert operator.run("drain", "balancer/b1").exit_code == ExitCode.UNKNOWN


def test_operator_page_explains_every_error_kind() -> None:
    """Guards against an error kind that the operations page lacks."""
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    rows = [line for line in page.splitlines() if line.startswith("| `")]
    for kind in ErrorKind:
        assert sum(row.startswith(f"| `{kind.value}` |") for row in rows) == 1, kind
