"""Tests of settings files: valid examples, and messages for errors."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from bramleydyke.cli.main import main
from bramleydyke.cli.settings import SETTINGS_TYPES
from bramleydyke.demo.deployment import load_deployments
from bramleydyke.settings import (
    AgentSettings,
    Edge,
    NodeSettings,
    PlatformAccess,
    Seed,
    load,
)

ROOT = Path(__file__).parents[2]
LOCAL = ROOT / "examples" / "local"
AGENT = LOCAL / "agent-1.json"


def with_field(tmp_path: Path, **fields: object) -> Path:
    path = tmp_path / "agent.json"
    content = msgspec.json.decode(AGENT.read_bytes()) | fields
    path.write_bytes(msgspec.json.encode(content))
    return path


@pytest.mark.parametrize("role", sorted(SETTINGS_TYPES))
def test_examples_hold(role: str) -> None:
    """Guards against examples that no longer match the settings."""
    files = [str(path) for path in sorted(LOCAL.glob(f"{role}*.json"))]
    assert files
    result = CliRunner().invoke(main, ["settings", "check", role, *files])
    assert result.exit_code == 0, result.output


@pytest.mark.parametrize(
    ("fields", "words"),
    [
        ({"slots": 0}, ["$.slots", ">= 1", "is 0"]),
        ({"listen": "localhost:1"}, ["$.listen", "ip:port", '"localhost:1"']),
        ({"listen": "127.0.0.1:70000"}, ["$.listen", "ip:port"]),
        ({"protocol": "sctp"}, ["protocol", "sctp"]),
        ({"zome": "fes"}, ["unknown field `zome`"]),
        ({"service": "bourse"}, ["$.service", "partner/name", '"bourse"']),
        ({"seeds": [{"node_id": "x", "endpoint": "1.2.3.4:5"}]}, ["seeds[0].node_id"]),
    ],
)
def test_bad_values_are_refused_with_field_and_value(
    tmp_path: Path, fields: dict[str, object], words: list[str]
) -> None:
    """Guards against an invalid value that is accepted or not named."""
    path = with_field(tmp_path, **fields)
    message = load(path, AgentSettings).failure()
    missing = [word for word in [str(path), *words] if word not in message]
    assert not missing and "\n" not in message, message


def test_errors_do_not_show_credentials(tmp_path: Path) -> None:
    """Guards against error messages that contain credentials."""
    path = with_field(tmp_path, credential="secret with spaces")
    assert "secret" not in load(path, AgentSettings).failure().replace(str(path), "")


def test_bad_settings_end_a_program_before_it_binds(tmp_path: Path) -> None:
    """Guards against a program that starts with invalid settings."""
    path = with_field(tmp_path, slots="two")
    result = CliRunner().invoke(main, ["agent", str(path)])
    assert result.exit_code == 3
    assert result.stderr.count("\n") == 1


def test_every_field_is_documented() -> None:
    """Guards against a setting that is missing from the settings page."""
    page = (ROOT / "docs" / "settings.md").read_text()
    kinds = [*SETTINGS_TYPES.values(), NodeSettings, Edge, Seed, PlatformAccess]
    names = {field.name for kind in kinds for field in msgspec.structs.fields(kind)}
    assert [name for name in sorted(names) if f"| `{name}` |" not in page] == []


def test_deployments_match_the_design() -> None:
    """Guards against deployments that lack a service or an upstream."""
    services = {
        service.name: (service.upstreams, service.slots)
        for deployment in load_deployments()
        for service in deployment.services
    }
    assert services == {
        "bourse-beurre": (7, 2),
        "bulletin-laitier": (3, 2),
        "proof-desk": (7, 1),
        "frame-vault": (4, 1),
    }
