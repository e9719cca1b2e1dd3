"""The settings file: used fields are decoded and validated, unknown fields are ignored."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from adapter import decode_settings, read_settings
from rhubarbbend.gateway import SettingsInvalid

FILE: dict[str, Any] = {
    "nodeName": "front-a-1",
    "ip": "10.1.0.40",
    "zone": "almaty-a",
    "listen": {"front": "10.1.0.40:8227", "ready": "10.1.0.40:8220", "control": "10.1.0.40:8229"},
    "seeds": ["10.2.0.29:8229"],
    "limits": {"maxFds": 4_100, "memoryMb": 300},
    "bounds": {"retryBudgetRatio": 0.2, "budgetSlack": 52, "capFactor": 2, "graceS": 8},
    "platform": {"address": "10.200.1.7:8223", "form": "table"},
    "newField": {"unknown": True},
}


def test_decode_settings() -> None:
    settings = decode_settings(json.dumps(FILE).encode())
    assert settings.instance == "front-a-1"
    assert settings.callers == ("10.1.0.40", 8227)
    assert settings.peers == ("10.1.0.40", 8229)
    assert settings.seeds == (("10.2.0.29", 8229),)
    assert settings.store == ("10.200.1.7", 8223)
    assert (settings.retry_ratio, settings.retry_slack, settings.load_factor) == (0.2, 52, 2)
    assert (settings.stop_grace, settings.max_descriptors) == (8, 4_100)
    assert settings.memory == 300 * 1024 * 1024


def test_admission_control_is_on_where_the_contract_pressure_is_listed() -> None:
    assert not decode_settings(json.dumps(FILE).encode()).admission_control
    for contracts, is_on in (([], False), (["calm", "pressure"], True), (["pressures"], False)):
        file = {**FILE, "contracts": contracts}
        assert decode_settings(json.dumps(file).encode()).admission_control is is_on


def test_advertised_address_differs_from_listen_address() -> None:
    file = {**FILE, "advertise": {"control": "10.9.0.1:99"}}
    settings = decode_settings(json.dumps(file).encode())
    assert settings.peers == ("10.1.0.40", 8229)
    assert settings.peer_address == ("10.9.0.1", 99)
    assert decode_settings(json.dumps(FILE).encode()).peer_address == ("10.1.0.40", 8229)


def test_no_peer_address_without_a_control_address() -> None:
    listen = {"front": "10.1.0.40:8227", "ready": "10.1.0.40:8220"}
    assert decode_settings(json.dumps({**FILE, "listen": listen}).encode()).peers is None


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"nodeName": 7}, "nodeName"),
        ({"listen": {"front": "10.1.0.40", "ready": "10.1.0.40:8220"}}, "listen.front"),
        ({"seeds": ["10.2.0.29:99999"]}, "seeds"),
        ({"advertise": {"control": "10.9.0.1"}}, "advertise.control"),
        ({"platform": {}}, "address"),
        ({"contracts": "pressure"}, "contracts"),
        ({"bounds": {"capFactor": "two"}}, "capFactor"),
    ],
)
def test_error_names_the_invalid_field(change: dict[str, Any], field: str) -> None:
    with pytest.raises(SettingsInvalid, match=field):
        decode_settings(json.dumps({**FILE, **change}).encode())


def test_missing_variable_or_file_is_reported(tmp_path: Path) -> None:
    with pytest.raises(SettingsInvalid, match="RHUBARBBEND_CONFIG"):
        read_settings({})
    with pytest.raises(SettingsInvalid, match="No such file"):
        read_settings({"RHUBARBBEND_CONFIG": str(tmp_path / "none.json")})
