"""Tests of the worker of a store, and of the rate limit of log lines about the store's faults."""

from __future__ import annotations

import json
import os
import queue
from collections.abc import Iterator
from contextlib import closing
from typing import Any

import pytest

from olivepost.proxy.clock import Clock
from olivepost.proxy.event_log import EventLog
from olivepost.shared_store import client, messages, operations
from olivepost.shared_store.fault_log import LOG_INTERVAL, FaultLog
from olivepost.shared_store.settings import SharedStoreSettings
from olivepost.shared_store.store_worker import Lane, ReplyEvent, StoreWorker, WorkerContext
from olivepost.units import MILLISECOND
from standins.redis.server import Server

TIMEOUT_S = 5.0


class FakeClock(Clock):
    """A clock whose time a test sets."""

    def __init__(self) -> None:
        super().__init__()
        self.time = 10 * LOG_INTERVAL

    def now(self) -> int:
        return self.time


class WorkerHarness:
    """A worker with a stand-in store.

    The worker runs the commands of the urgent lane: those for which requests wait. `replies` contains the
    events that the worker posts.
    """

    def __init__(self, server: Server, **sharing: Any) -> None:
        store = {"name": "s", "address": "{}:{}".format(*server.address)}
        settings = SharedStoreSettings.model_validate({"branch": "b", "stores": [store], **sharing})
        self._read_end, write_end = os.pipe()
        self._write_end = write_end
        self.clock = FakeClock()
        self.log = EventLog(self.clock, "n1", descriptor=write_end)
        self.replies: queue.SimpleQueue[ReplyEvent] = queue.SimpleQueue()
        self.faults = FaultLog(self.clock, self.log)
        context = WorkerContext(settings, "p1", self.clock, self.log, self.faults, self.replies.put)
        self.worker = StoreWorker(context, settings.stores[0], Lane.URGENT)

    def submit(self, ticket: int) -> None:
        self.worker.submit(messages.StoreCommand(ticket, "s", operations.AdvanceGeneration(0, 0)))

    def next_reply(self) -> ReplyEvent:
        return self.replies.get(timeout=TIMEOUT_S)

    def close(self) -> None:
        self.worker.close()
        self.log.close(TIMEOUT_S)
        os.close(self._write_end)
        os.close(self._read_end)

    def logged(self) -> list[dict[str, Any]]:
        """Closes the log; returns its lines, decoded from JSON."""
        self.log.close(TIMEOUT_S)
        return [json.loads(line) for line in os.read(self._read_end, 65_536).splitlines()]


@pytest.fixture
def server() -> Iterator[Server]:
    with closing(Server()) as server:
        yield server


def test_command_gets_the_reply_of_its_store(server: Server) -> None:
    with closing(WorkerHarness(server)) as harness:
        harness.worker.start()
        harness.submit(1)

        reply = harness.next_reply()

        assert isinstance(reply, messages.StoreReply)
        assert reply.ticket == 1
        assert reply.generation > 0


def test_command_that_does_not_fit_into_the_queue_is_lost_at_once(server: Server) -> None:
    with closing(WorkerHarness(server, queues={"urgent": 1})) as harness:
        harness.submit(1)
        harness.submit(2)

        assert harness.next_reply() == messages.ReplyLost(2, "the queue is full")
        assert harness.log.counters()["store_queue_full"] == 1


def test_command_that_waited_too_long_is_not_sent(server: Server) -> None:
    with closing(WorkerHarness(server, wait="10ms")) as harness:
        harness.submit(1)
        harness.clock.time += 10 * MILLISECOND
        harness.submit(2)
        harness.clock.time += 1
        harness.worker.start()

        assert harness.next_reply() == messages.ReplyLost(1, "waited too long")
        assert isinstance(harness.next_reply(), messages.StoreReply)
        assert harness.log.counters()["store_commands_expired"] == 1


def test_commands_are_lost_while_the_store_is_unreachable(server: Server) -> None:
    with closing(WorkerHarness(server)) as harness:
        server.call(lambda: server.apply_change({"refuse": True}))
        harness.submit(1)
        harness.submit(2)
        harness.worker.start()

        assert [harness.next_reply() for _ in range(2)] == [
            messages.ReplyLost(1, "ConnectionError"),
            messages.ReplyLost(2, "ConnectionError"),
        ]
        assert harness.log.counters()["store_faults"] == 1


def test_unforeseen_exception_loses_only_its_batch(server: Server, monkeypatch: pytest.MonkeyPatch) -> None:
    run_operations = client.run_operations

    def fail_once(*_arguments: Any, **_options: Any) -> list[object]:
        monkeypatch.setattr(client, "run_operations", run_operations)
        raise RuntimeError("unforeseen")

    monkeypatch.setattr(client, "run_operations", fail_once)
    with closing(WorkerHarness(server)) as harness:
        harness.worker.start()
        harness.submit(1)
        assert harness.next_reply() == messages.ReplyLost(1, "RuntimeError")

        harness.submit(2)
        assert isinstance(harness.next_reply(), messages.StoreReply)
        assert [line["event"] for line in harness.logged()] == ["store_worker_error", "store_fault"]


def test_faults_of_one_kind_are_logged_once_per_interval(server: Server) -> None:
    with closing(WorkerHarness(server)) as harness:
        for _ in range(3):
            harness.faults.record(ConnectionError("gone"))
        harness.faults.record(TimeoutError("slow"))
        harness.clock.time += LOG_INTERVAL
        harness.faults.record(ConnectionError("gone"))

        assert harness.log.counters()["store_faults"] == 5
        assert [line["why"] for line in harness.logged()] == [
            "ConnectionError: gone",
            "TimeoutError: slow",
            "ConnectionError: gone",
        ]
