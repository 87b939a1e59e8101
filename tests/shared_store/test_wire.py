"""The stand-in's wire as the client library judges it, in both protocols, and its faults on demand."""

from __future__ import annotations

import socket
import ssl
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import redis
import trustme
from hypothesis import given, settings
from hypothesis import strategies as st

from olivepost.shared_store.client import connect
from olivepost.shared_store.scripts import DIGESTS
from olivepost.shared_store.settings import SharedStoreSettings
from standins.redis.faults import ScheduleError, read_schedule
from standins.redis.server import Server


@pytest.fixture
def server() -> Iterator[Server]:
    made = Server()
    yield made
    made.close()


def client(server: Server, protocol: int = 3, **more: Any) -> Any:
    host, port = server.address
    return redis.Redis(
        host=host,
        port=port,
        protocol=protocol,
        socket_timeout=0.3,
        retry=redis.retry.Retry(redis.backoff.NoBackoff(), 0),
        **more,
    )


@pytest.mark.parametrize("protocol", [2, 3])
def test_commands_as_the_library_knows_them(server: Server, protocol: int) -> None:
    made = client(server, protocol)
    assert made.set("a", "1", nx=True, px=5000) and made.set("a", "2", nx=True) is None
    assert made.set("a", "3", get=True) == b"1" and made.get("a") == b"3" and made.get("none") is None
    assert made.incr("n") == 1 and made.incrby("n", 41) == 42
    assert made.hset("h", mapping={"x": "1", "y": "2"}) == 2 and made.hgetall("h") == {b"x": b"1", b"y": b"2"}
    assert made.hmget("h", "x", "z") == [b"1", None] and made.hincrby("h", "x", 4) == 5
    assert made.pexpire("h", 10_000) and 0 < made.pttl("h") <= 10_000 and made.ttl("a") == -1
    assert made.persist("h") and made.pttl("gone") == -2
    assert made.zadd("z", {"p": 2, "q": 1}) == 2 and made.zrangebyscore("z", 1, 5) == [b"q", b"p"]
    assert made.rpush("l", "u", "v") == 2 and made.lrange("l", 0, -1) == [b"u", b"v"]
    assert sorted(made.scan_iter("?", 2)) == [b"a", b"h", b"l", b"n", b"z"] and made.type("z") == b"zset"
    with pytest.raises(redis.ResponseError, match="WRONGTYPE"):
        made.get("h")
    with pytest.raises(redis.ResponseError, match="not an integer"):
        made.incr("z2") and made.set("t", "x") and made.incr("t")
    assert made.exists("a", "h", "gone") == 2 and made.delete("a", "gone") == 1 and made.dbsize() >= 4


@pytest.mark.parametrize("protocol", [2, 3])
def test_scripts_and_their_conversions(server: Server, protocol: int) -> None:
    made = client(server, protocol)
    assert made.eval("return {1, 'a', nil, 'lost'}", 0) == [1, b"a"] and made.eval("return 3.9", 0) == 3
    assert made.eval("return redis.call('SET', KEYS[1], ARGV[1])", 1, "k", "v")
    assert made.eval("return redis.call('GET', KEYS[1])", 1, "k") == b"v"
    digest = made.script_load("return ARGV[1]")
    assert made.evalsha(digest, 0, "x") == b"x" and made.script_exists(digest) == [True]
    made.script_flush()
    with pytest.raises(redis.exceptions.NoScriptError):
        made.evalsha(digest, 0, "x")
    with pytest.raises(redis.ResponseError):
        made.eval("return os.time()", 0)


@pytest.mark.parametrize("protocol", [2, 3])
def test_transactions(server: Server, protocol: int) -> None:
    made, other = client(server, protocol), client(server, protocol)
    assert made.pipeline(transaction=True).set("a", 1).incr("a").execute() == [True, 2]
    with made.pipeline() as pipe:
        pipe.watch("a")
        other.set("a", 9)
        pipe.multi()
        pipe.incr("a")
        with pytest.raises(redis.WatchError):
            pipe.execute()
    assert made.get("a") == b"9"


def test_script_texts_are_those_of_the_released_version() -> None:
    """Guards against proxies of two versions that load different scripts into one store."""
    assert {name.name: digest for name, digest in DIGESTS.items()} == {
        "SYNC": "b9e6d594fecf6d8f4bfd0dd4327254c0ddd853e0",
        "LOOK_UP": "212e283ec3b23ca3da5099ed4adf343472bcd0fc",
        "RELEASE_LEASE": "b09f1f119df37e504ebf378c2284d5405adbd19d",
        "REPORT_STALE": "c720f4472cc4de0ece23527e6bea4054a27d3ffc",
        "INVALIDATE": "552fa0164e8a14c488be1a9f0f1a39e109bd0c2e",
        "GRANT_QUOTA": "c4d57347f0dbf63038e84cb8da5950b872dc5e64",
        "ADVANCE_GENERATION": "48f76344b8e93636cfa31a7b28dfc755e2a1c29e",
    }


def test_subscribers_hear(server: Server) -> None:
    made = client(server)
    heard = made.pubsub()
    heard.subscribe("news")
    assert heard.get_message(timeout=1)["type"] == "subscribe"
    assert client(server).publish("news", "x") == 1
    assert heard.get_message(timeout=1)["data"] == b"x"


def test_passwords_and_their_change(server: Server) -> None:
    server.users = {"default": "old"}
    assert client(server, password="old").ping()
    with pytest.raises(redis.AuthenticationError):
        client(server, password="new").ping()
    with pytest.raises(redis.AuthenticationError):
        client(server).ping()
    server.call(lambda: server.change({"password": "new", "cut_all": True}))
    assert client(server, password="new").ping()


def test_faults_as_the_library_sees_them(server: Server) -> None:
    made = client(server)
    made.set("a", "1")
    server.faults.silent = True
    with pytest.raises(redis.TimeoutError):
        made.set("a", "2")
    server.faults.silent = False
    assert made.ping()  # connected again
    server.faults.pause = True
    with pytest.raises(redis.TimeoutError):
        made.set("a", "3")  # and it has run
    server.faults.pause = False
    assert made.get("a") == b"3"
    server.faults.full = True
    with pytest.raises(redis.exceptions.OutOfMemoryError):
        made.set("b", "1")
    server.faults.full, server.faults.read_only = False, True
    with pytest.raises(redis.exceptions.ReadOnlyError):
        made.set("b", "1")
    server.faults.read_only, server.faults.cut = False, 1.0
    with pytest.raises(redis.ConnectionError):
        made.set("a", "4")
    server.faults.cut = 0.0
    assert client(server).get("a") == b"4"  # cut after it had run
    server.call(lambda: server.change({"refuse": True}))
    with pytest.raises(redis.ConnectionError):
        client(server).ping()


def test_a_snapshot_brings_the_past_back(server: Server) -> None:
    made = client(server)
    made.set("a", "old")
    server.call(server.keyspace.snapshot)
    time.sleep(0.02)
    made.set("a", "new")
    server.call(lambda: server.change({"back_s": 0.01}))
    assert client(server).get("a") == b"old"


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
def test_a_faulty_schedule_names_its_entry(text: str, named: str) -> None:
    with pytest.raises(ScheduleError, match=named):
        read_schedule(text)


@settings(max_examples=60, derandomize=True, deadline=None, database=None)
@given(st.binary(max_size=60))
def test_no_bytes_end_the_server(data: bytes) -> None:
    with socket.create_connection(FUZZED.address, 5) as sock:
        sock.sendall(data + b"\r\n")
        sock.shutdown(socket.SHUT_WR)
        while sock.recv(4096):
            pass
    assert client(FUZZED).ping()


FUZZED = Server()


def test_tls_is_checked(tmp_path: Path) -> None:
    """A store whose certificate another authority signed, or for another name, is not talked to."""
    authority, stranger = trustme.CA(), trustme.CA()
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    authority.issue_cert("127.0.0.1").configure_cert(context)
    other = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    authority.issue_cert("elsewhere.example").configure_cert(other)
    users = {"olive": "secret"}
    server, misnamed = Server(users=users, tls=context), Server(users=users, tls=other)
    secret, ours, theirs = tmp_path / "secret", tmp_path / "ca.pem", tmp_path / "other.pem"
    secret.write_text("secret\n")
    authority.cert_pem.write_to_path(ours)
    stranger.cert_pem.write_to_path(theirs)

    def ping(at: Server, ca_file: Path) -> bool:
        store = {
            "name": "s",
            "address": "{}:{}".format(*at.address),
            "user": "olive",
            "password_file": secret,
            "tls": {"ca_file": ca_file},
        }
        made = SharedStoreSettings.model_validate({"branch": "b", "stores": [store]})
        with connect(made, made.stores[0]) as found:
            return bool(found.ping())

    try:
        assert ping(server, ours)
        for at, authorities in ((server, theirs), (misnamed, ours)):
            with pytest.raises(redis.ConnectionError):
                ping(at, authorities)
    finally:
        server.close()
        misnamed.close()
