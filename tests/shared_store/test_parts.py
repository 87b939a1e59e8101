"""The store's client: no command that may have run is sent again."""

from __future__ import annotations

import random

import pytest
import redis

from olivepost.shared_store import client
from olivepost.shared_store import messages as ev
from olivepost.shared_store.settings import SharedStoreSettings
from standins.redis.server import Server


def test_a_command_that_was_cut_off_is_not_sent_again() -> None:
    """Guards against a piece handed on twice by a client library that tries again by itself."""
    server = Server()
    try:
        given = {"name": "s", "address": "{}:{}".format(*server.address)}
        made = SharedStoreSettings.model_validate({"branch": "b", "stores": [given]})
        store = client.connect(made, made.stores[0])
        (reply,) = client.run(store, [ev.AdvanceGeneration(0, 0)], "b", "me", True)
        assert isinstance(reply, list)
        whole, cuts = server.faults.spoil, [True]

        def spoil(data: bytes, draw: random.Random) -> tuple[bytes, bool]:
            return (data[:1], cuts.pop()) if cuts else whole(data, draw)

        server.faults.spoil = spoil  # type: ignore[method-assign]
        before = int(server.keyspace.data[b"b:generation"])
        with pytest.raises(redis.ConnectionError):
            client.run(store, [ev.AdvanceGeneration(before, before)], "b", "me", False)
        assert int(server.keyspace.data[b"b:generation"]) > before  # it has run
        assert server.commands < 40
        store.close()
    finally:
        server.close()
