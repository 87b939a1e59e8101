"""Configuration: what is read, what is defaulted, and messages that name the faulty key."""

import json
from pathlib import Path
from typing import Any

import pytest

from examples.toy_server import CONFIG
from olivepost import interface as api
from olivepost.config import TURN, ConfigError, load, read_config
from tests.rig import toy_config


def test_the_example_is_read() -> None:
    config = load({}, str(CONFIG))
    assert config.name == "example" and config.listen == ("127.0.0.1", 8080)
    assert config.coordinator == ("127.0.0.1", 7370) and config.seed == 0x8C1F30D27A5BE964
    assert config.settings.classes["image"].idempotency is api.Idempotency.IDEMPOTENT
    bounds = config.limits
    assert (
        bounds.max_requests_per_connection == 32
        and bounds.connect_timeout == 400_000_000
        and bounds.upstream_idle_timeout == 30_000_000_000
    )
    assert (
        bounds.max_client_connections >= 1024 // 3
        and bounds.body_buffers * bounds.buffer_size <= 192 * 1_048_576 // 2
    )
    assert (
        bounds.cache_buffers < bounds.body_buffers
        and config.settings.local_transfer_capacity == 0 == config.transfer_bytes_per_s
    )
    assert (
        bounds.max_connections_per_endpoint * bounds.max_requests_per_connection
        >= bounds.max_client_connections
    )


def test_own_link_in_transfers() -> None:
    config = read_config(toy_config(flow_bytes_per_s=1000, link_bytes_per_s=4500.0), {})
    assert config.settings.local_transfer_capacity == 4.5 and config.transfer_bytes_per_s == 1000


def test_the_module_gives_up_in_time_for_a_front_that_is_busy() -> None:
    config = read_config(toy_config(), {})
    assert config.settings.deadline_margin == TURN
    slow = toy_config()
    slow["settings"]["tick"] = 2 * TURN
    assert read_config(slow, {}).settings.deadline_margin == 2 * TURN


def test_variables_win_over_the_file() -> None:
    told = {"BALANCER_NAME": "n3", "BALANCER_LISTEN": "127.0.0.9:81", "BALANCER_CONFIG": str(CONFIG)}
    config = load(told)
    assert (config.name, config.listen) == ("n3", ("127.0.0.9", 81))


@pytest.mark.parametrize(("memory", "sockets"), [(32, 256), (64, 256), (192, 1024), (2048, 4096)])
def test_small_limits_are_valid_and_the_front_fits_into_them(memory: int, sockets: int) -> None:
    bounds = read_config(toy_config(limits={"memory_mb": memory, "sockets": sockets}), {}).limits
    held = (bounds.read_buffers + bounds.body_buffers) * bounds.buffer_size
    threads = (
        (bounds.max_client_connections + 2 * bounds.max_upstream_connections) * 24 * 1024
    )  # what is touched of a thread's stack
    assert 22 * 2**20 + held + threads < memory * 2**20
    assert (
        bounds.max_client_connections + bounds.max_upstream_connections + 16 < sockets
        and bounds.max_client_connections >= 32
    )
    assert bounds.cache_buffers < bounds.body_buffers and bounds.body_buffers * bounds.buffer_size >= 240_000


def test_limits_and_unknown_keys() -> None:
    config = read_config(toy_config(limits={"sockets": 256, "of_tomorrow": 1}, of_tomorrow=[]), {})
    assert config.limits.max_sockets == 256 and config.limits.memory_mb == 192
    assert config.limits.buffer_size == 16_384
    assert config.limits.max_client_connections < 256 // 2


READ = {"name": "a", "deadline": 1_000_000_000, "effect": "read_like"}


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
        ({"settings": {"zone": "x", "classes": [{**READ, "deadline": 0}]}}, "deadline"),
        ({"settings": {"zone": "x", "classes": [{**READ, "deadline": 1.5}]}}, "deadline"),
        ({"settings": {"zone": "x", "classes": [{**READ, "aim": -1}]}}, "aim"),
        ({"settings": {"zone": "x", "classes": [{**READ, "gain": -1}]}}, "gain"),
        ({"settings": {"zone": "x", "classes": [READ, READ]}}, "name"),
        ({"settings": {"zone": "x", "classes": [{**READ, "name": "two words"}]}}, "classes"),
        ({"settings": {"zone": "x", "classes": [{**READ, "group": "odd"}]}}, "group"),
        ({"settings": {"zone": "x", "classes": [READ], "family-info": {"max-age": ["long"]}}}, "max-age"),
        (
            {
                "settings": {
                    "zone": "x",
                    "classes": [READ],
                    "family-info": {"zone-balancers": [[]]},
                    "failure-domains": ["x"],
                }
            },
            "zone-balancers",
        ),
        ({"settings": {"zone": "x", "classes": [READ], "contract": {"cold-from": 7}}}, "cold-from"),
        ({"flow_bytes_per_s": -1}, "flow_bytes_per_s"),
    ],
)
def test_a_fault_names_its_key(changes: dict[str, Any], key: str) -> None:
    with pytest.raises(ConfigError, match=key):
        read_config(toy_config(**changes), {})


def test_a_faulty_variable_is_named(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match="BALANCER_LISTEN"):
        read_config(toy_config(), {"BALANCER_LISTEN": "x"})
    with pytest.raises(ConfigError, match="BALANCER_CONFIG"):
        load({})
    with pytest.raises(ConfigError, match="BALANCER_CONFIG"):
        load({"BALANCER_CONFIG": str(tmp_path / "none.json")})
    path = tmp_path / "odd.json"
    path.write_text(json.dumps([1]))
    with pytest.raises(ConfigError, match="not an object"):
        load({}, str(path))
    path.write_text("{")
    with pytest.raises(ConfigError, match="not JSON"):
        load({}, str(path))


def test_odd_settings_that_have_a_meaning_are_taken() -> None:
    """Zero and missing limits, thirty classes, whole numbers with a point, a class that earns nothing."""
    classes = [{**READ, "name": f"c{number}", "gain": number, "aim": 0} for number in range(30)]
    limits = {"attempts-cap": 0, "max-streams": 0, "connect-timeout": 0, "conn-idle": 0}
    for given in (limits, {}):
        settings = {"zone": "x", "classes": classes, "limits": given, "contract": {"fall": 2e9}}
        config = read_config(toy_config(settings=settings), {})
        assert len(config.settings.classes) == 30 and config.settings.max_attempts == 1
        assert config.settings.overload_window == 2_000_000_000
        assert (
            config.limits.max_requests_per_connection == 32 and config.limits.connect_timeout == 400_000_000
        )


@pytest.mark.parametrize("deadline_ms", [40, 200, 5_000])
def test_a_short_deadline_is_not_mostly_given_up(deadline_ms: int) -> None:
    spec = {**READ, "deadline": deadline_ms * 1_000_000}
    config = read_config(toy_config(settings={"zone": "x", "classes": [spec]}), {})
    assert 0 < config.settings.deadline_margin <= deadline_ms * 1_000_000 // 8
