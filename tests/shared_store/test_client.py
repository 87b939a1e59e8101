"""Tests of a store's Redis client: a command that may have run is not sent again."""

from __future__ import annotations

import random
from contextlib import closing

import pytest
import redis

from olivepost.shared_store import client
from olivepost.shared_store.operations import AdvanceGeneration
from olivepost.shared_store.settings import SharedStoreSettings
from standins.redis.faults import FaultyReply
from standins.redis.server import Server


def test_command_whose_reply_was_cut_off_is_not_repeated() -> None:
    """Guards against retries by the client library: a repeated command could grant the same quota twice."""
    with closing(Server()) as server:
        section = {"name": "s", "address": "{}:{}".format(*server.address)}
        settings = SharedStoreSettings.model_validate({"branch": "b", "stores": [section]})
        store = client.create_client(settings, settings.stores[0])
        (reply,) = client.run_operations(store, [AdvanceGeneration(0, 0)], "b", "me", is_transaction=True)
        assert isinstance(reply, list)
        send_complete = server.faults.apply_to_reply
        pending_cuts = [True]

        def cut_first_reply(data: bytes, draw: random.Random) -> FaultyReply:
            return FaultyReply(data[:1], pending_cuts.pop()) if pending_cuts else send_complete(data, draw)

        server.faults.apply_to_reply = cut_first_reply  # type: ignore[method-assign]
        before = int(server.keyspace.data[b"b:generation"])

        advance = AdvanceGeneration(before, before)
        with pytest.raises(redis.ConnectionError):
            client.run_operations(store, [advance], "b", "me", is_transaction=False)

        # The command has run, although its reply was cut off.
        assert int(server.keyspace.data[b"b:generation"]) > before
        assert server.commands < 40
        store.close()
