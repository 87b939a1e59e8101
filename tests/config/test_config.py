"""Tests of a proxy's configuration: values, defaults, derived limits, and errors that name the faulty key."""

from pathlib import Path
from typing import Any

import pytest

from examples.toy_server import CONFIG
from olivepost import interface as api
from olivepost.config import ConfigError, load, read_config, read_settings
from olivepost.config.loader import MAX_DEADLINE_MARGIN
from olivepost.units import MILLISECOND, SECOND
from tests.proxy_harness import toy_config

BYTES_PER_MB = 2**20


def test_example_file_is_read() -> None:
    config = load({}, str(CONFIG))

    assert config.name == "example"
    assert config.listen == ("127.0.0.1", 8080)
    assert config.coordinator == ("127.0.0.1", 7370)
    assert config.seed == 0x8C1F30D27A5BE964
    assert config.settings.classes["image"].idempotency is api.Idempotency.IDEMPOTENT
    assert config.settings.local_transfer_capacity == 0
    assert config.transfer_bytes_per_s is None


def test_example_file_gives_limits_for_its_machine() -> None:
    limits = load({}, str(CONFIG)).limits

    assert limits.max_requests_per_connection == 32
    assert limits.connect_timeout == 400 * MILLISECOND
    assert limits.upstream_idle_timeout == 30 * SECOND
    assert limits.max_client_connections >= 1024 // 3
    assert limits.body_buffers * limits.buffer_bytes <= 192 * BYTES_PER_MB // 2
    assert limits.cache_buffers < limits.body_buffers
    requests_per_endpoint = limits.max_connections_per_endpoint * limits.max_requests_per_connection
    assert requests_per_endpoint >= limits.max_client_connections


def test_clients_mark_their_retries_on_sockets_and_elsewhere_if_the_settings_say_so() -> None:
    data = toy_config()

    assert "clients" not in data["settings"]
    assert read_config(data, {}).settings.marks_client_retries
    assert not read_settings(data["settings"]).marks_client_retries
    assert read_settings({**data["settings"], "clients": {"marks-retry": True}}).marks_client_retries


def test_capacity_of_the_local_link_is_counted_in_transfers() -> None:
    config = read_config(toy_config(flow_bytes_per_s=1000, link_bytes_per_s=4500.0), {})

    assert config.settings.local_transfer_capacity == 4.5
    assert config.transfer_bytes_per_s == 1000


def test_deadline_margin_has_its_maximum_where_deadlines_are_long() -> None:
    config = read_config(toy_config(), {})

    assert config.settings.deadline_margin == MAX_DEADLINE_MARGIN


def test_longer_configured_deadline_margin_is_kept() -> None:
    configuration = toy_config()
    configuration["settings"]["tick"] = 2 * MAX_DEADLINE_MARGIN

    settings = read_config(configuration, {}).settings

    assert settings.deadline_margin == 2 * MAX_DEADLINE_MARGIN


def test_environment_takes_precedence_over_the_file() -> None:
    environment = {
        "BALANCER_NAME": "n3",
        "BALANCER_LISTEN": "127.0.0.9:81",
        "BALANCER_CONFIG": str(CONFIG),
    }

    config = load(environment)

    assert (config.name, config.listen) == ("n3", ("127.0.0.9", 81))


@pytest.mark.parametrize(("memory_mb", "sockets"), [(32, 256), (64, 256), (192, 1024), (2048, 4096)])
def test_limits_fit_into_the_configured_memory_and_descriptors(memory_mb: int, sockets: int) -> None:
    limits = read_config(toy_config(limits={"memory_mb": memory_mb, "sockets": sockets}), {}).limits

    buffer_bytes = (limits.read_buffers + limits.body_buffers) * limits.buffer_bytes
    threads = limits.max_client_connections + 2 * limits.max_upstream_connections
    stack_bytes = threads * 24 * 1024  # 24 KiB of each thread's stack are resident
    assert 22 * BYTES_PER_MB + buffer_bytes + stack_bytes < memory_mb * BYTES_PER_MB
    assert limits.max_client_connections + limits.max_upstream_connections + 16 < sockets
    assert limits.max_client_connections >= 32
    assert limits.cache_buffers < limits.body_buffers
    assert limits.body_buffers * limits.buffer_bytes >= 240_000


def test_unknown_keys_are_skipped_and_missing_limits_have_defaults() -> None:
    config = read_config(toy_config(limits={"sockets": 256, "of_tomorrow": 1}, of_tomorrow=[]), {})

    assert config.limits.max_sockets == 256
    assert config.limits.memory_mb == 192
    assert config.limits.buffer_bytes == 16_384
    assert config.limits.max_client_connections < 256 // 2


READ_CLASS = {"name": "a", "deadline": 1_000_000_000, "effect": "read_like"}


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"listen": "here"}, "listen"),
        ({"listen": "127.0.0.1:99999"}, "listen"),
        ({"listen": "300.0.0.1:80"}, "listen"),
        ({"coordinator": 5}, "coordinator"),
        ({"coordinator": None}, "coordinator"),
        ({"seed": "xyz"}, "seed"),
        ({"seed": [1]}, "seed"),
        ({"limits": {"memory_mb": 1}}, "memory_mb"),
        ({"limits": {"sockets": "many"}}, "sockets"),
        ({"limits": 7}, "limits"),
        ({"settings": None}, "settings"),
        ({"settings": {"zone": "x", "classes": []}}, "classes"),
        ({"settings": {"zone": "x", "classes": [{"name": "a"}]}}, "deadline"),
        ({"settings": {"classes": [{"name": "a", "deadline": 1, "effect": "read_like"}]}}, "zone"),
        ({"settings": {"zone": "x", "classes": [{"name": "a", "deadline": 1, "effect": "odd"}]}}, "effect"),
        ({"name": 3}, "name"),
        ({"settings": {"zone": "x", "classes": [{**READ_CLASS, "deadline": 0}]}}, "deadline"),
        ({"settings": {"zone": "x", "classes": [{**READ_CLASS, "deadline": 1.5}]}}, "deadline"),
        ({"settings": {"zone": "x", "classes": [{**READ_CLASS, "aim": -1}]}}, "aim"),
        ({"settings": {"zone": "x", "classes": [{**READ_CLASS, "gain": -1}]}}, "gain"),
        ({"settings": {"zone": "x", "classes": [READ_CLASS, READ_CLASS]}}, "name"),
        ({"settings": {"zone": "x", "classes": [{**READ_CLASS, "name": "two words"}]}}, "classes"),
        ({"settings": {"zone": "x", "classes": [{**READ_CLASS, "group": "odd"}]}}, "group"),
        (
            {"settings": {"zone": "x", "classes": [READ_CLASS], "family-info": {"max-age": ["long"]}}},
            "max-age",
        ),
        (
            {
                "settings": {
                    "zone": "x",
                    "classes": [READ_CLASS],
                    "family-info": {"zone-balancers": [[]]},
                    "failure-domains": ["x"],
                }
            },
            "zone-balancers",
        ),
        ({"settings": {"zone": "x", "classes": [READ_CLASS], "contract": {"cold-from": 7}}}, "cold-from"),
        ({"flow_bytes_per_s": -1}, "flow_bytes_per_s"),
    ],
)
def test_error_names_the_faulty_key(changes: dict[str, Any], key: str) -> None:
    with pytest.raises(ConfigError, match=key) as raised:
        read_config(toy_config(**changes), {})
    assert key in (raised.value.key, raised.value.where)


def test_error_has_the_object_and_what_is_allowed() -> None:
    changes = {"settings": {"zone": "x", "classes": [{**READ_CLASS, "effect": "odd"}]}}
    with pytest.raises(ConfigError) as raised:
        read_config(toy_config(**changes), {})
    assert raised.value.where == "settings.classes[0]"
    assert raised.value.key == "effect"
    assert raised.value.reason == ("must be one of read_like, idempotency_key, non_idempotent, not 'odd'")
    assert str(raised.value) == f"settings.classes[0]: 'effect' {raised.value.reason}"


def test_faulty_listen_variable_is_named() -> None:
    with pytest.raises(ConfigError, match="BALANCER_LISTEN"):
        read_config(toy_config(), {"BALANCER_LISTEN": "x"})


def test_missing_configuration_file_is_named_by_its_variable(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match="BALANCER_CONFIG"):
        load({})
    with pytest.raises(ConfigError, match="BALANCER_CONFIG"):
        load({"BALANCER_CONFIG": str(tmp_path / "none.json")})


@pytest.mark.parametrize(("text", "message"), [("[1]", "must be an object"), ("{", "not JSON")])
def test_file_that_is_not_a_json_object_is_rejected(tmp_path: Path, text: str, message: str) -> None:
    path = tmp_path / "odd.json"
    path.write_text(text)

    with pytest.raises(ConfigError, match=message):
        load({}, str(path))


@pytest.mark.parametrize(
    "limits", [{"attempts-cap": 0, "max-streams": 0, "connect-timeout": 0, "conn-idle": 0}, {}]
)
def test_zero_and_missing_limits_mean_their_defaults(limits: dict[str, int]) -> None:
    """Checks that limits of 0 and missing limits mean the default limits.

    The settings also have 30 classes, one of them with weight 0, and a whole number that is written as a
    float.
    """
    classes = [{**READ_CLASS, "name": f"c{number}", "gain": number, "aim": 0} for number in range(30)]
    settings = {"zone": "x", "classes": classes, "limits": limits, "contract": {"fall": 2e9}}

    config = read_config(toy_config(settings=settings), {})

    assert len(config.settings.classes) == 30
    assert config.settings.max_attempts == 1
    assert config.settings.overload_window == 2 * SECOND
    assert config.limits.max_requests_per_connection == 32
    assert config.limits.connect_timeout == 400 * MILLISECOND


@pytest.mark.parametrize("deadline_ms", [40, 200, 5_000])
def test_deadline_margin_is_at_most_an_eighth_of_the_deadline(deadline_ms: int) -> None:
    spec = {**READ_CLASS, "deadline": deadline_ms * MILLISECOND}

    config = read_config(toy_config(settings={"zone": "x", "classes": [spec]}), {})

    assert 0 < config.settings.deadline_margin <= deadline_ms * MILLISECOND // 8
