"""Tests of the stand-in server with the client library, in RESP2 and RESP3, and of the server's faults."""

from __future__ import annotations

import socket
import ssl
import time
from collections.abc import Iterator
from contextlib import closing
from pathlib import Path
from typing import Any

import pytest
import redis
import trustme
from hypothesis import given, settings
from hypothesis import strategies as st

from olivepost.shared_store.client import create_client
from olivepost.shared_store.scripts import DIGESTS
from olivepost.shared_store.settings import SharedStoreSettings
from standins.redis.faults import ScheduleError, read_schedule
from standins.redis.server import Server


@pytest.fixture
def server() -> Iterator[Server]:
    server = Server()
    yield server
    server.close()


@pytest.fixture(scope="module")
def fuzzed_server() -> Iterator[Server]:
    server = Server()
    yield server
    server.close()


def client_of(server: Server, protocol: int = 3, **options: Any) -> Any:
    host, port = server.address
    return redis.Redis(
        host=host,
        port=port,
        protocol=protocol,
        socket_timeout=0.3,
        retry=redis.retry.Retry(redis.backoff.NoBackoff(), 0),
        **options,
    )


@pytest.mark.parametrize("protocol", [2, 3])
def test_commands_on_strings_reply_as_the_library_expects(server: Server, protocol: int) -> None:
    client = client_of(server, protocol)

    assert client.set("a", "1", nx=True, px=5000)
    assert client.set("a", "2", nx=True) is None
    assert client.set("a", "3", get=True) == b"1"
    assert client.get("a") == b"3"
    assert client.get("none") is None
    assert client.incr("n") == 1
    assert client.incrby("n", 41) == 42
    assert client.incr("z2") == 1


@pytest.mark.parametrize("protocol", [2, 3])
def test_commands_on_hashes_sets_and_lists_reply_as_the_library_expects(
    server: Server, protocol: int
) -> None:
    client = client_of(server, protocol)

    assert client.hset("h", mapping={"x": "1", "y": "2"}) == 2
    assert client.hgetall("h") == {b"x": b"1", b"y": b"2"}
    assert client.hmget("h", "x", "z") == [b"1", None]
    assert client.hincrby("h", "x", 4) == 5
    assert client.zadd("z", {"p": 2, "q": 1}) == 2
    assert client.zrangebyscore("z", 1, 5) == [b"q", b"p"]
    assert client.type("z") == b"zset"
    assert client.rpush("l", "u", "v") == 2
    assert client.lrange("l", 0, -1) == [b"u", b"v"]


@pytest.mark.parametrize("protocol", [2, 3])
def test_commands_on_keys_reply_as_the_library_expects(server: Server, protocol: int) -> None:
    client = client_of(server, protocol)
    client.set("a", "1", px=5000)
    client.set("a", "3")
    client.hset("h", mapping={"x": "1"})
    client.incr("n")
    client.rpush("l", "u")
    client.zadd("z", {"p": 2})

    assert client.pexpire("h", 10_000)
    assert 0 < client.pttl("h") <= 10_000
    assert client.ttl("a") == -1
    assert client.persist("h")
    assert client.pttl("missing") == -2
    assert sorted(client.scan_iter("?", 2)) == [b"a", b"h", b"l", b"n", b"z"]
    assert client.exists("a", "h", "missing") == 2
    assert client.delete("a", "missing") == 1
    assert client.dbsize() >= 4


@pytest.mark.parametrize("protocol", [2, 3])
def test_commands_on_values_of_another_type_fail(server: Server, protocol: int) -> None:
    client = client_of(server, protocol)
    client.hset("h", mapping={"x": "1"})
    assert client.set("t", "x")

    with pytest.raises(redis.ResponseError, match="WRONGTYPE"):
        client.get("h")
    with pytest.raises(redis.ResponseError, match="not an integer"):
        client.incr("t")


@pytest.mark.parametrize("protocol", [2, 3])
def test_scripts_run_and_their_values_are_converted(server: Server, protocol: int) -> None:
    client = client_of(server, protocol)
    assert client.eval("return {1, 'a', nil, 'lost'}", 0) == [1, b"a"]
    assert client.eval("return 3.9", 0) == 3
    assert client.eval("return redis.call('SET', KEYS[1], ARGV[1])", 1, "k", "v")
    assert client.eval("return redis.call('GET', KEYS[1])", 1, "k") == b"v"
    digest = client.script_load("return ARGV[1]")
    assert client.evalsha(digest, 0, "x") == b"x"
    assert client.script_exists(digest) == [True]
    client.script_flush()
    with pytest.raises(redis.exceptions.NoScriptError):
        client.evalsha(digest, 0, "x")
    with pytest.raises(redis.ResponseError):
        client.eval("return os.time()", 0)


@pytest.mark.parametrize("protocol", [2, 3])
def test_transaction_fails_when_a_watched_key_changes(server: Server, protocol: int) -> None:
    client = client_of(server, protocol)
    other = client_of(server, protocol)
    assert client.pipeline(transaction=True).set("a", 1).incr("a").execute() == [True, 2]
    with client.pipeline() as pipe:
        pipe.watch("a")
        other.set("a", 9)
        pipe.multi()
        pipe.incr("a")
        with pytest.raises(redis.WatchError):
            pipe.execute()
    assert client.get("a") == b"9"


def test_script_texts_are_those_of_the_released_version() -> None:
    """Guards against a changed script text, which would give the script another digest.

    Proxies of two versions share the scripts that one store has loaded, and call the scripts by digest.
    """
    assert {name.name: digest for name, digest in DIGESTS.items()} == {
        "SYNC": "b9e6d594fecf6d8f4bfd0dd4327254c0ddd853e0",
        "LOOK_UP": "212e283ec3b23ca3da5099ed4adf343472bcd0fc",
        "RELEASE_LEASE": "b09f1f119df37e504ebf378c2284d5405adbd19d",
        "REPORT_STALE": "c720f4472cc4de0ece23527e6bea4054a27d3ffc",
        "INVALIDATE": "552fa0164e8a14c488be1a9f0f1a39e109bd0c2e",
        "GRANT_QUOTA": "c4d57347f0dbf63038e84cb8da5950b872dc5e64",
        "ADVANCE_GENERATION": "48f76344b8e93636cfa31a7b28dfc755e2a1c29e",
    }


def test_subscriber_gets_published_messages(server: Server) -> None:
    client = client_of(server)
    subscriber = client.pubsub()
    subscriber.subscribe("news")
    assert subscriber.get_message(timeout=1)["type"] == "subscribe"
    assert client_of(server).publish("news", "x") == 1
    assert subscriber.get_message(timeout=1)["data"] == b"x"


def test_only_the_present_password_is_accepted(server: Server) -> None:
    server.users = {"default": "old"}
    assert client_of(server, password="old").ping()
    with pytest.raises(redis.AuthenticationError):
        client_of(server, password="new").ping()
    with pytest.raises(redis.AuthenticationError):
        client_of(server).ping()

    server.call(lambda: server.apply_change({"password": "new", "cut_all": True}))

    assert client_of(server, password="new").ping()


def test_unresponsive_server_times_out_and_is_connected_to_again(server: Server) -> None:
    client = client_of(server)
    client.set("a", "1")

    server.faults.silent = True
    with pytest.raises(redis.TimeoutError):
        client.set("a", "2")

    server.faults.silent = False
    assert client.ping()


def test_paused_server_runs_the_received_commands(server: Server) -> None:
    client = client_of(server)
    assert client.ping()  # the client connects before the fault begins

    server.faults.pause = True
    with pytest.raises(redis.TimeoutError):
        client.set("a", "3")

    server.faults.pause = False
    assert client.get("a") == b"3"


@pytest.mark.parametrize(
    ("fault", "error"),
    [("full", redis.exceptions.OutOfMemoryError), ("read_only", redis.exceptions.ReadOnlyError)],
)
def test_full_or_read_only_server_rejects_writes(
    server: Server, fault: str, error: type[redis.ResponseError]
) -> None:
    client = client_of(server)
    assert client.ping()  # the client connects before the fault begins

    setattr(server.faults, fault, True)

    with pytest.raises(error):
        client.set("b", "1")


def test_command_whose_reply_was_cut_has_run(server: Server) -> None:
    client = client_of(server)
    assert client.ping()  # the client connects before the fault begins

    server.faults.cut = 1.0
    with pytest.raises(redis.ConnectionError):
        client.set("a", "4")

    server.faults.cut = 0.0
    assert client_of(server).get("a") == b"4"


def test_server_that_refuses_connections_can_not_be_connected_to(server: Server) -> None:
    server.call(lambda: server.apply_change({"refuse": True}))

    with pytest.raises(redis.ConnectionError):
        client_of(server).ping()


def test_restored_snapshot_has_the_older_values(server: Server) -> None:
    client = client_of(server)
    client.set("a", "old")
    server.call(server.keyspace.snapshot)
    time.sleep(0.02)
    client.set("a", "new")

    server.call(lambda: server.apply_change({"back_s": 0.01}))

    assert client_of(server).get("a") == b"old"


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("{", "not JSON"),
        ("{}", "not a list"),
        ('[{"at_s": -1}]', "entry 0"),
        ('[{"at_s": 1, "riddle": 2}]', "riddle"),
        ('[{"at_s": 1, "silent": "x"}]', "silent"),
    ],
)
def test_faulty_schedule_is_rejected_with_its_entry(text: str, named: str) -> None:
    with pytest.raises(ScheduleError, match=named):
        read_schedule(text)


@settings(max_examples=60, derandomize=True, deadline=None, database=None)
@given(data=st.binary(max_size=60))
def test_arbitrary_bytes_do_not_end_the_server(fuzzed_server: Server, data: bytes) -> None:
    with socket.create_connection(fuzzed_server.address, 5) as sock:
        sock.sendall(data + b"\r\n")
        sock.shutdown(socket.SHUT_WR)
        while sock.recv(4096):
            pass

    assert client_of(fuzzed_server).ping()


def store_settings(server: Server, password_file: Path, ca_file: Path) -> SharedStoreSettings:
    store = {
        "name": "s",
        "address": "{}:{}".format(*server.address),
        "user": "olive",
        "password_file": password_file,
        "tls": {"ca_file": ca_file},
    }
    return SharedStoreSettings.model_validate({"branch": "b", "stores": [store]})


def ping(settings: SharedStoreSettings) -> bool:
    with create_client(settings, settings.stores[0]) as client:
        return bool(client.ping())


def test_certificate_of_another_authority_or_host_is_rejected(tmp_path: Path) -> None:
    authority = trustme.CA()
    other_authority = trustme.CA()
    tls = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    authority.issue_cert("127.0.0.1").configure_cert(tls)
    tls_of_other_host = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    authority.issue_cert("elsewhere.example").configure_cert(tls_of_other_host)
    password_file = tmp_path / "secret"
    password_file.write_text("secret\n")
    ca_file = tmp_path / "ca.pem"
    authority.cert_pem.write_to_path(ca_file)
    other_ca_file = tmp_path / "other.pem"
    other_authority.cert_pem.write_to_path(other_ca_file)

    users = {"olive": "secret"}
    with (
        closing(Server(users=users, tls=tls)) as server,
        closing(Server(users=users, tls=tls_of_other_host)) as misnamed_server,
    ):
        assert ping(store_settings(server, password_file, ca_file))
        with pytest.raises(redis.ConnectionError):
            ping(store_settings(server, password_file, other_ca_file))
        with pytest.raises(redis.ConnectionError):
            ping(store_settings(misnamed_server, password_file, ca_file))
