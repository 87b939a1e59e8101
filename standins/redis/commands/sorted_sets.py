"""Commands on sorted sets."""

from __future__ import annotations

import operator
from dataclasses import dataclass

from standins.redis.commands.table import (
    CommandTable,
    Database,
    Effect,
    Reply,
    format_number,
    parse_integer,
)
from standins.redis.database import SortedSet
from standins.redis.errors import CommandSyntaxError

COMMANDS = CommandTable()
LIMIT_ARGUMENTS = 2  # number of LIMIT's arguments, offset and count


@dataclass(frozen=True, slots=True)
class ScoreBound:
    """One end of a range of scores. In a command, a parenthesis before a score excludes the score itself."""

    score: float
    is_exclusive: bool

    @classmethod
    def parse(cls, text: bytes) -> ScoreBound:
        """Reads a bound from an argument of ZRANGEBYSCORE."""
        return cls(float(text.lstrip(b"(")), text.startswith(b"("))

    def is_below(self, score: float) -> bool:
        """Whether a score is within a range that begins at this bound."""
        compare = operator.lt if self.is_exclusive else operator.le
        return bool(compare(self.score, score))

    def is_above(self, score: float) -> bool:
        """Whether a score is within a range that ends at this bound."""
        compare = operator.gt if self.is_exclusive else operator.ge
        return bool(compare(self.score, score))


@COMMANDS.register("ZADD", Effect.GROW)
def add(database: Database, key: bytes, *pairs: bytes) -> Reply:
    """Implements ZADD: sets the scores of members. Returns how many members are new."""
    if not pairs or len(pairs) % 2:
        raise CommandSyntaxError
    scores = database.writable_collection(key, SortedSet)
    count_before = len(scores)
    scores.update((member, float(score)) for score, member in zip(pairs[::2], pairs[1::2], strict=True))
    return len(scores) - count_before


@COMMANDS.register("ZCARD")
def cardinality(database: Database, key: bytes) -> Reply:
    """Implements ZCARD: returns the number of members."""
    return len(database.collection(key, SortedSet))


@COMMANDS.register("ZREM", Effect.SHRINK)
def remove(database: Database, key: bytes, *members: bytes) -> Reply:
    """Implements ZREM: removes members. Returns how many of them existed."""
    return database.remove_members(key, SortedSet, members)


@COMMANDS.register("ZRANGEBYSCORE")
def range_by_score(database: Database, key: bytes, low: bytes, high: bytes, *options: bytes) -> Reply:
    """Implements ZRANGEBYSCORE: returns the members of a range of scores in the order of their scores.

    If the option WITHSCORES is given, each member is followed by its score.
    """
    lower = ScoreBound.parse(low)
    upper = ScoreBound.parse(high)
    scores = database.collection(key, SortedSet)
    rows = sorted((score, member) for member, score in scores.items())
    rows = [row for row in rows if lower.is_below(row[0]) and upper.is_above(row[0])]
    has_scores = False
    remaining = [option.upper() for option in options]
    while remaining:
        option = remaining.pop(0)
        if option == b"WITHSCORES":
            has_scores = True
        elif option == b"LIMIT" and len(remaining) >= LIMIT_ARGUMENTS:
            start = parse_integer(remaining.pop(0))
            count = parse_integer(remaining.pop(0))
            rows = rows[start:] if count < 0 else rows[start : start + count]
        else:
            raise CommandSyntaxError
    if has_scores:
        return [item for score, member in rows for item in (member, format_number(score))]
    return [member for _, member in rows]
