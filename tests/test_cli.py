"""Tests of the command line, and of the example configuration in a separate proxy process."""

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import IO, Any

import pytest

from examples.toy_server import CONFIG, Coordinator, ToyEndpoint, body_of, tag_of
from olivepost import __version__
from olivepost.cli import main
from tests.proxy_harness import OBJECT_NAME, WAIT_TIMEOUT_S, HttpClient, toy_config


def test_version_is_printed(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["version"]) == 0
    assert capsys.readouterr().out == f"olivepost {__version__}\n"


def test_help_is_printed(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        main(["--help"])

    assert not ended.value.code
    assert "Examples:" in capsys.readouterr().out


def test_usable_configuration_passes_check(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["check", "--config", str(CONFIG)]) == 0
    assert "can be used" in capsys.readouterr().out


def test_sharing_command_without_a_section_ends_with_code_2(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.delenv("OLIVEPOST_OPERATOR", raising=False)

    assert main(["sharing", "ping"]) == 2
    assert "no section 'sharing'" in capsys.readouterr().err


def test_sharing_command_with_an_unknown_store_ends_with_code_2(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "operator.yaml"
    path.write_text("sharing:\n  branch: w\n  stores: [{name: s, address: '127.0.0.1:1'}]\n")

    assert main(["sharing", "ping", "--operator", str(path), "--store", "x"]) == 2
    assert capsys.readouterr().err == "olivepost: no store 'x'; known stores: s\n"


def test_missing_package_of_the_operators_file_is_reported_by_its_name(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.delitem(sys.modules, "olivepost.operator_config.loader", raising=False)
    monkeypatch.setitem(sys.modules, "yaml", None)

    assert main(["check", "--operator", "any.yaml"]) == 2
    assert capsys.readouterr().err == (
        "olivepost: an operator's file needs the package 'yaml': pip install .[all]\n"
    )


def test_wrong_command_line_ends_with_code_2_and_the_usage(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["riddle"]) == 2
    assert "Usage:" in capsys.readouterr().err


@pytest.mark.parametrize("command", ["check", "serve"])
def test_faulty_configuration_ends_with_code_2_and_its_key(
    command: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(toy_config(listen="nowhere")))

    assert main([command, "--config", str(path)]) == 2

    error = capsys.readouterr().err
    assert "'listen'" in error
    assert error.count("\n") == 1


def test_port_in_use_ends_with_code_1(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        path = tmp_path / "config.json"
        path.write_text(json.dumps(toy_config(listen=f"127.0.0.1:{listener.getsockname()[1]}")))
        done = subprocess.run(
            [sys.executable, "-m", "olivepost", "serve", "--config", str(path)],
            capture_output=True,
            text=True,
            timeout=60,
        )

    assert done.returncode == 1
    assert done.stderr.startswith("olivepost: can't listen on")
    assert done.stderr.count("\n") == 1


def start_endpoints(config: dict[str, Any]) -> list[ToyEndpoint]:
    """Starts a toy endpoint for each listed endpoint, and writes the toy's address into the list's entry."""
    listed = config["known"]["updates"][0]["endpoints"]["servers"]
    endpoints = [ToyEndpoint(item["id"]) for item in listed]
    for item, endpoint in zip(listed, endpoints, strict=True):
        item["addr"] = endpoint.address
    return endpoints


def assert_logs_one_rejected_request(log: IO[bytes]) -> None:
    """Checks that the next log lines are the failed attempts of one request, then `request_given_up`."""
    lines = [json.loads(log.readline())]
    while lines[-1]["event"] == "attempt_failed":
        lines.append(json.loads(log.readline()))
    assert lines[-1]["event"] == "request_given_up"
    assert {line["request"] for line in lines} == {lines[0]["request"]}


def assert_logs_one_shutdown(lines: list[dict[str, Any]]) -> None:
    """Checks that the log ends with one shutdown, and has no violated invariant and no pending request."""
    ignored_prefixes = ("reload", "client_connection_closed")
    events = [line["event"] for line in lines if not line["event"].startswith(ignored_prefixes)]
    assert events == ["draining", "metrics", "stopped"]
    assert lines[-2]["invariant_violations"] == {}
    assert lines[-1]["pending_requests"] == 0


@pytest.mark.parametrize("build", [[], ["-O"]])
def test_example_serves_reloads_and_shuts_down(build: list[str], tmp_path: Path) -> None:
    config = toy_config()
    endpoints = start_endpoints(config)
    coordinator = Coordinator()
    new_coordinator = Coordinator()
    coordinator.events = new_coordinator.events = config["known"]["updates"]
    config["coordinator"] = coordinator.address
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))
    command = [sys.executable, *build, "-m", "olivepost", "serve"]
    environment = {**os.environ, "BALANCER_CONFIG": str(path)}
    proxy = subprocess.Popen(command, stdout=subprocess.PIPE, env=environment)
    try:
        assert proxy.stdout is not None
        started = json.loads(proxy.stdout.readline())
        assert started["event"] == "started"
        host, _, port = started["listen"].rpartition(":")
        with HttpClient((host, int(port))) as client:
            assert client.request().body == body_of(OBJECT_NAME, "3")
            assert client.request(If_None_Match=f'"{tag_of(OBJECT_NAME, "3")}"').status == 304
            assert client.request("f" * 16).status == 503
            assert_logs_one_rejected_request(proxy.stdout)
            path.write_text("{")
            proxy.send_signal(signal.SIGHUP)
            failed = json.loads(proxy.stdout.readline())
            assert failed["event"] == "reload_failed"
            assert "not JSON" in failed["why"]
            path.write_text(json.dumps({**config, "coordinator": "x"}))
            proxy.send_signal(signal.SIGHUP)
            assert "'coordinator'" in json.loads(proxy.stdout.readline())["why"]
            path.write_text(
                json.dumps({**config, "limits": {"memory_mb": 96}, "coordinator": new_coordinator.address})
            )
            proxy.send_signal(signal.SIGHUP)
            reloaded = json.loads(proxy.stdout.readline())
            assert reloaded["event"] == "reloaded"
            assert reloaded["moved"]
            assert reloaded["coordinator"] == new_coordinator.address
            needs_restart = json.loads(proxy.stdout.readline())
            assert needs_restart["event"] == "reload_needs_restart"
            assert needs_restart["keys"] == ["limits"]
            assert new_coordinator.wait_for_poll(1)
            assert client.request().body == body_of(OBJECT_NAME, "3")
        proxy.send_signal(signal.SIGTERM)
        proxy.send_signal(signal.SIGHUP)  # SIGHUP must not end the process, not even during the shutdown
        rest = [json.loads(line) for line in proxy.stdout]
        assert proxy.wait(WAIT_TIMEOUT_S) == 0
        assert_logs_one_shutdown(rest)
    finally:
        proxy.kill()
        proxy.wait()
        for server in (*endpoints, coordinator, new_coordinator):
            server.close()
