"""Plays one case of the second review: `play_2.py N` runs `case` of review/N/case.py.

Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run, whatever the reason.
"""

from __future__ import annotations

import asyncio
import contextlib
import importlib.util
import os
import signal
import sys
import tempfile
from collections.abc import Coroutine
from pathlib import Path
from types import FrameType
from typing import Any

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_UNUSABLE = 2
TIME_LIMIT_S = 100  # a run ends itself after this, with the rest of 120 s to spare
CLEAN_UP_S = 5  # for a case that is cancelled to end what it has started
LAST_SECOND = 9_999  # the verdict stands behind all other entries of the record


def main(number: str) -> int:
    """Plays the case and returns the exit code; nothing that fails here is taken for a broken rule."""
    for name in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(name, _end)
    record = None
    try:
        folder = Path(__file__).resolve().parent / number
        spec = importlib.util.spec_from_file_location("case", folder / "case.py")
        assert spec is not None
        assert spec.loader is not None
        module = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(module)
        record = module.Record(folder / "record.txt")
        record.write()
        with tempfile.TemporaryDirectory() as temporary:
            broken = _play(module.case(record, Path(temporary)))
        verdict = [f"BROKEN {line}" for line in broken] + [f"{len(broken)} times broken"]
        for line in verdict:
            record.add(line, record.started_at + LAST_SECOND)
            print(line)
        record.write()
        sys.stdout.flush()
    except BaseException as error:  # noqa: BLE001 - also SystemExit and a cancelled task
        _report(f"the case could not run: {error!r}", record)
        return EXIT_UNUSABLE
    return EXIT_BROKEN if broken else EXIT_HELD


def _play(case: Coroutine[Any, Any, list[str]]) -> list[str]:
    """Runs the case to its end, or cancels it at the time limit and at a signal, so that it ends its fronts.

    The case's other tasks aren't waited for, as `asyncio.run` would do: in Python 3.11 `asyncio.wait_for`
    may lose a cancellation, and a client would go on asking for minutes. They end with the process.
    """
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    task = loop.create_task(_play_in_time(case))
    try:
        return loop.run_until_complete(task)
    except BaseException:
        if not task.done():
            task.cancel()
            with contextlib.suppress(BaseException):
                loop.run_until_complete(asyncio.wait([task], timeout=CLEAN_UP_S))
        raise


async def _play_in_time(case: Coroutine[Any, Any, list[str]]) -> list[str]:
    return await asyncio.wait_for(case, TIME_LIMIT_S)


def _end(number: int, _frame: FrameType | None) -> None:
    """Ends the run at the first signal, so that the case ends what it has started; ignores further ones."""
    for name in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(name, signal.SIG_IGN)
    raise SystemExit(f"ended by signal {number}")


def _report(text: str, record: Any) -> None:
    try:
        print(text, file=sys.stderr, flush=True)
        if record is not None:
            record.add(text, record.started_at + LAST_SECOND)
            record.write()
    except Exception:  # noqa: BLE001 - the exit code says enough
        return


if __name__ == "__main__":
    code = EXIT_UNUSABLE
    try:
        code = main(sys.argv[1])
    finally:
        os._exit(code)
