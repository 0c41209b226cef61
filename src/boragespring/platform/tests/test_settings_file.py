"""Loading of valid and invalid platform settings files."""

import pytest
from typer.testing import CliRunner

from boragespring.cli.app import app
from boragespring.platform.settings_file import load_gateway_settings
from boragespring.settings import FieldErrorGroup, SettingsFileError

VALID_SETTINGS = """
node = "front-1"
zone = "a"
region = "r"
ip_address = "10.1.0.19"
internal_ports = [7200, 7215]
seeds = ["10.1.0.19:8748", "10.2.0.13:8748"]
unknown_field = 5
[listen]
front = "10.1.0.19:8740"
ready = "10.1.0.19:8749"
[limits]
memory_mb = 150
[bounds]
configuration_ms = 1500
grace_s = 9
strict_revocation = true
revocation_ms = 4000
[platform]
address = "10.200.1.7:8742"
"""


@pytest.fixture
def write(tmp_path):
    path = tmp_path / "local.toml"

    def write(text):
        path.write_text(text, encoding="utf-8")
        return path

    return write


def test_fields_are_decoded_with_their_units(write):
    settings = load_gateway_settings(write(VALID_SETTINGS))
    assert settings.name == "front-1"
    assert (settings.callers.host, settings.callers.port) == ("10.1.0.19", 8740)
    assert settings.peers.port == 7200
    assert [seed.host for seed in settings.seeds] == ["10.1.0.19", "10.2.0.13"]
    assert settings.store.url == "http://10.200.1.7:8742"
    assert settings.bounds.catalog_delay_s == 1.5
    assert settings.bounds.revocation_age_max_s == 4.0


def test_outliers_are_ejected_where_health_checks_may_be_wrong(write):
    assert not load_gateway_settings(write(VALID_SETTINGS)).ejects_outliers
    contracts = 'contracts = ["base", "health"]\n'
    assert load_gateway_settings(write(contracts + VALID_SETTINGS)).ejects_outliers


def test_revocation_age_is_unlimited_unless_strict(write):
    lenient = VALID_SETTINGS.replace(
        "strict_revocation = true", "strict_revocation = false"
    )
    settings = load_gateway_settings(write(lenient))
    assert settings.bounds.revocation_age_max_s == float("inf")


@pytest.mark.parametrize(
    ("before", "after", "named"),
    [
        ('node = "front-1"', "", "node"),
        (
            "configuration_ms = 1500",
            'configuration_ms = "soon"',
            "bounds.configuration_ms",
        ),
        ("[7200, 7215]", "[]", "internal_ports"),
        ('front = "10.1.0.19:8740"', 'front = "nowhere"', "listen.front"),
        ('node = "front-1"', "node = ", "local.toml"),
    ],
)
def test_errors_name_file_and_field(write, before, after, named):
    path = write(VALID_SETTINGS.replace(before, after))
    with pytest.raises((FieldErrorGroup, SettingsFileError)) as caught:
        load_gateway_settings(path)
    text = str(caught.value)
    if isinstance(caught.value, FieldErrorGroup):
        text = " ".join(map(str, caught.value.exceptions))
    assert named in text
    assert "local.toml" in text


def test_check_command_validates_the_settings_file(write):
    path = write(VALID_SETTINGS)
    assert CliRunner().invoke(app, ["check", str(path)]).exit_code == 0
    invalid_path = write(
        VALID_SETTINGS.replace("configuration_ms = 1500", 'configuration_ms = "soon"')
    )
    result = CliRunner().invoke(app, ["check", str(invalid_path)])
    assert result.exit_code == 1
    assert "bounds.configuration_ms" in result.output


@pytest.mark.parametrize(
    ("found", "written"),
    [
        ("grace_s = 9", "grace_s = nan"),
        ("grace_s = 9", "grace_s = inf"),
        ("configuration_ms = 1500", "configuration_ms = -1"),
        ("[7200, 7215]", "[70000, 7215]"),
        ('front = "10.1.0.19:8740"', 'front = "10.1.0.19:87400"'),
        ('node = "front-1"', 'node = ""'),
        ("unknown_field = 5", "unknown_field = " + "[" * 100_000),
    ],
)
def test_odd_value_is_an_error_of_the_settings(write, found, written):
    assert found in VALID_SETTINGS
    with pytest.raises((FieldErrorGroup, SettingsFileError)):
        load_gateway_settings(write(VALID_SETTINGS.replace(found, written)))


def test_odd_seed_is_left_out(write):
    text = VALID_SETTINGS.replace("10.1.0.19:8748", "10.1.0.19]:8748")
    assert [seed.host for seed in load_gateway_settings(write(text)).seeds] == (
        ["10.2.0.13"]
    )
