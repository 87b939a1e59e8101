"""Fuzzing of the parser of responses: `python -m tests.proxy.http1.fuzz_responses SEED COUNT`.

Each response has a random form, and half of them have random changes. Each is parsed in two random splits. An
unchanged response must give its body. A changed one must give the same result in both splits: the same
bodies, or an error.
"""

from __future__ import annotations

import random
import sys

from olivepost.proxy.http1.messages import HttpError
from olivepost.proxy.http1.response_parser import ResponseParser
from tests.proxy.http1.feeding import feed_connection
from tests.proxy.http1.response_forms import mutate, random_form

MAX_HEAD_SIZE = 400
MAX_BODY_SIZE = 2_000
LARGEST_BODY = 200
MAX_PIECES = 9


def parse_in_pieces(draw: random.Random, data: bytes, is_closed: bool) -> list[bytes] | None:
    """Returns the bodies of the responses in `data`, fed in random pieces; None if they are malformed."""
    cuts = sorted(draw.randint(0, len(data)) for _ in range(draw.randrange(MAX_PIECES)))
    parser = ResponseParser(MAX_HEAD_SIZE, MAX_BODY_SIZE)
    pieces = [data[start:end] for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True)]
    try:
        return [message.body for message in feed_connection(parser, pieces, is_closed)]
    except HttpError:
        return None


def fuzz(draw: random.Random, count: int) -> None:
    """Parses `count` random responses; raises AssertionError at the first wrong result."""
    for _ in range(count):
        body = draw.randbytes(draw.randrange(LARGEST_BODY))
        data, is_closed = random_form(draw, body)
        is_changed = draw.random() < 0.5
        if is_changed:
            data = mutate(draw, data)
        first = parse_in_pieces(draw, data, is_closed)
        second = parse_in_pieces(draw, data, is_closed)
        assert first == second, data
        assert is_changed or first == [body], data


if __name__ == "__main__":
    seed, total = (int(argument) for argument in sys.argv[1:])
    fuzz(random.Random(seed), total)
    print(f"seed {seed}: {total} responses, each in two splits")
