"""The command line, and the example as a newcomer would try it."""

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from examples.toy_server import CONFIG, Coordinator, Member, body_of, tag_of
from olivepost import __version__
from olivepost.cli import main
from tests.rig import NAME, WITHIN, Client, toy_config


def test_version_and_help(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["version"]) == 0
    assert capsys.readouterr().out == f"olivepost {__version__}\n"
    with pytest.raises(SystemExit) as ended:
        main(["--help"])
    assert not ended.value.code and "Examples:" in capsys.readouterr().out


def test_check(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["check", "--config", str(CONFIG)]) == 0
    assert "can be used" in capsys.readouterr().out


def test_a_wrong_command_line(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["riddle"]) == 2
    assert "Usage:" in capsys.readouterr().err


@pytest.mark.parametrize("command", ["check", "serve"])
def test_a_faulty_configuration(command: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(toy_config(listen="nowhere")))
    assert main([command, "--config", str(path)]) == 2
    error = capsys.readouterr().err
    assert "'listen'" in error and error.count("\n") == 1


def test_a_port_in_use(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        path = tmp_path / "config.json"
        path.write_text(json.dumps(toy_config(listen=f"127.0.0.1:{taken.getsockname()[1]}")))
        done = subprocess.run(
            [sys.executable, "-m", "olivepost", "serve", "--config", str(path)],
            capture_output=True,
            text=True,
            timeout=60,
        )
    assert done.returncode == 1
    assert done.stderr.startswith("olivepost: can't listen on") and done.stderr.count("\n") == 1


@pytest.mark.parametrize("build", [[], ["-O"]])
def test_the_example_serves(build: list[str], tmp_path: Path) -> None:
    config = toy_config()
    listed = config["known"]["updates"][0]["endpoints"]["servers"]
    members = [Member(item["id"]) for item in listed]
    for item, member in zip(listed, members, strict=True):
        item["addr"] = member.address
    coordinator, other = Coordinator(), Coordinator()
    coordinator.events = other.events = config["known"]["updates"]
    config["coordinator"] = coordinator.address
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))
    command = [sys.executable, *build, "-m", "olivepost", "serve"]
    told = {**os.environ, "BALANCER_CONFIG": str(path)}
    front = subprocess.Popen(command, stdout=subprocess.PIPE, env=told)
    try:
        assert front.stdout is not None
        started = json.loads(front.stdout.readline())
        assert started["event"] == "started"
        host, _, port = started["listen"].rpartition(":")
        with Client((host, int(port))) as client:
            assert client.ask()[2] == body_of(NAME, "3")
            assert client.ask(If_None_Match=f'"{tag_of(NAME, "3")}"')[0] == 304
            assert client.ask("f" * 16)[0] == 503
            path.write_text("{")
            front.send_signal(signal.SIGHUP)
            failed = json.loads(front.stdout.readline())
            assert failed["event"] == "reload_failed" and "not JSON" in failed["why"]
            path.write_text(json.dumps({**config, "coordinator": "x"}))
            front.send_signal(signal.SIGHUP)
            assert "'coordinator'" in json.loads(front.stdout.readline())["why"]
            path.write_text(json.dumps({**config, "limits": {"memory_mb": 96}, "coordinator": other.address}))
            front.send_signal(signal.SIGHUP)
            done, fixed = (json.loads(front.stdout.readline()) for _ in range(2))
            assert done["event"] == "reloaded" and done["moved"] and done["coordinator"] == other.address
            assert fixed["event"] == "reload_needs_restart" and fixed["keys"] == ["limits"]
            assert other.wait_for_poll(1)
            assert client.ask()[2] == body_of(NAME, "3")
        front.send_signal(signal.SIGTERM)
        front.send_signal(signal.SIGHUP)  # also then it ends nothing
        rest = [json.loads(line) for line in front.stdout]
        assert front.wait(WITHIN) == 0
        events = [line["event"] for line in rest if not line["event"].startswith("reload")]
        assert events == ["draining", "metrics", "stopped"]  # one metrics line: it did not sleep on
        assert rest[-2]["invariant_violations"] == {} and rest[-1]["pending_requests"] == 0
    finally:
        front.kill()
        front.wait()
        for server in (*members, coordinator, other):
            server.close()
