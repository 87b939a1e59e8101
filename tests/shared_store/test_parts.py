"""The store's client: no command that may have run is sent again."""

from __future__ import annotations

import random

import pytest
import redis

from olivepost.shared_store import client
from olivepost.shared_store.messages import AdvanceGeneration
from olivepost.shared_store.settings import SharedStoreSettings
from standins.redis.server import Server


def test_command_that_was_cut_off_is_not_sent_again() -> None:
    """Guards against a quota grant handed over twice by a client library that retries by itself."""
    server = Server()
    try:
        section = {"name": "s", "address": "{}:{}".format(*server.address)}
        settings = SharedStoreSettings.model_validate({"branch": "b", "stores": [section]})
        store = client.connect(settings, settings.stores[0])
        (reply,) = client.run(store, [AdvanceGeneration(0, 0)], "b", "me", True)
        assert isinstance(reply, list)
        whole, cuts = server.faults.spoil, [True]

        def spoil(data: bytes, draw: random.Random) -> tuple[bytes, bool]:
            return (data[:1], cuts.pop()) if cuts else whole(data, draw)

        server.faults.spoil = spoil  # type: ignore[method-assign]
        before = int(server.keyspace.data[b"b:generation"])
        with pytest.raises(redis.ConnectionError):
            client.run(store, [AdvanceGeneration(before, before)], "b", "me", False)
        assert int(server.keyspace.data[b"b:generation"]) > before  # it has run
        assert server.commands < 40
        store.close()
    finally:
        server.close()
