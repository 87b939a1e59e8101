"""The decision module's interface: settings, events and actions, in the field's terms.

Times are whole nanoseconds on one clock that never goes back. Nothing here decides anything. Events and
actions are not frozen, since several are made for each request and that took three times as long.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What repeating a request of a class does."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """The caches that drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    """Where a member stands in its life, by the list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a membership event holds."""

    CHANGES = "changes"
    FULL = "full"
    STORED = "stored"
    FAILED = "failed"


class Status(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    TURNED_AWAY = "turned away"
    TIMED_OUT = "timed out"
    NOT_CONNECTED = "not connected"
    BROKEN_OFF = "broken off"
    CANCELLED = "cancelled"
    NEVER_SENT = "never sent"
    NO_COPY = "no copy"


NEVER_RAN = frozenset({Status.TURNED_AWAY, Status.NOT_CONNECTED, Status.NEVER_SENT, Status.NO_COPY})


class Note(Enum):
    """What a cache tells of how it came by its answer."""

    NOTHING = 0
    HIT = 1
    FILLED = 2
    FILLED_BY_ORIGIN = 3
    JOINED = 4
    STALE_HIT = 5
    SOURCE_REFUSED = 6
    SOURCE_LOST = 7
    SOURCE_LACKS = 8
    NO_FILL_PLACE = 9
    ORIGIN_FAILED = 10


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """One class of requests."""

    name: str
    aim: int
    aim_stretch: float
    deadline: int
    effect: Effect
    scope: Scope
    window: int
    streaming: bool
    worth: float
    late_worth: float
    fresh: int
    grace: int
    stale_worth: float
    uncacheable: bool


@dataclass(frozen=True, slots=True)
class Tier:
    """All caches of the location, or all parents: the fronts that share them, and how they start."""

    fronts: int
    cold_from: float
    warm_within: int
    fall_multiple: float


@dataclass(frozen=True, slots=True)
class Settings:
    """What a front is told when it starts."""

    classes: dict[str, ClassSettings]
    zone: str
    caches: Tier
    parents: Tier
    parent_kind: str
    origin_kind: str
    weights_told: bool
    pace_kb_per_s: float
    can_join: bool
    direct: bool
    siblings_as_source: str
    tells_hits: bool
    tells_causes: bool
    purge_done: int
    fall_window: int
    ask_for_list: bool
    ask_within: int
    max_attempts: int
    may_cancel: bool
    second_copies: bool
    retry_after: bool
    max_retry_after: int
    tick: int
    own_transfers: float = 0.0  # that a front's own link carries at once; 0: it serves no copies of its own
    store_wait: int = 0  # the most that a request may wait for the shared store; 0: there is none


@dataclass(frozen=True, slots=True)
class Listed:
    """One member as the list has it; `started` 0 means long ago."""

    address: str
    state: State
    kind: str = ""
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    started: int = 0


@dataclass(frozen=True, slots=True)
class Membership:
    """The list of members, whole or changed."""

    kind: ListKind
    members: tuple[Listed, ...]


@dataclass(slots=True)
class Copy:
    """A copy of a front's own: since when the origin gave it out, and its time on the front's own link."""

    age: int
    span: int


@dataclass(slots=True)
class Request:
    """A client's request; `size_kb` 0 and `group` None mean not told, `copy` None: the front has none."""

    id: str
    class_name: str
    object: str
    ttl: int
    size_kb: float = 0.0
    group: int | None = None
    part: int = 0
    write: bool = False
    copy: Copy | None = None


@dataclass(slots=True)
class Begun:
    """A streamed answer has begun; the attempt is the client's now."""

    id: str
    attempt: int


@dataclass(slots=True)
class Outcome:
    """An attempt has ended; `final` says that the request is over.

    `shared`: by the end of a connection that another attempt's outcome has told of already. `bare`: with
    word that the client's copy holds, which takes no sending time.
    """

    id: str
    attempt: int
    status: Status
    took: int
    final: bool = False
    note: Note = Note.NOTHING
    shared: bool = False
    bare: bool = False


@dataclass(slots=True)
class ClientLeft:
    """The client has gone; nothing more is owed."""

    id: str


@dataclass(slots=True)
class Ending:
    """The front ends now: all that it still owes an answer gets one."""


@dataclass(slots=True)
class Purge:
    """Copies of an object (None: of a whole group) older than `age` are out of date."""

    object: str | None
    group: int | None
    age: int


@dataclass(slots=True)
class TimerFired:
    """A timer that the router set has come due."""

    token: int


@dataclass(slots=True)
class StoreState:
    """Whether the shared store may be asked; at the start it may not."""

    up: bool


@dataclass(slots=True)
class Advice:
    """What the shared store knows of a consulted name; no `cache`: nothing, or the claim is this front's.

    `filling`: that cache is at it, for `ready_in` more by its owner's word.
    """

    id: str
    cache: str = ""
    filling: bool = False
    ready_in: int = 0


@dataclass(slots=True)
class Lend:
    """Another front lacks some of a budget: give up to `most` of the own part of it until a time."""

    ticket: int
    key: str
    most: float
    until: int


@dataclass(slots=True)
class Borrow:
    """Another front has given up so much of its part of a budget until a time."""

    key: str
    amount: float
    until: int


@dataclass(slots=True)
class Doubt:
    """Several other fronts suspect a member: weak evidence, never enough alone."""

    address: str


Event = (
    Membership
    | Request
    | Begun
    | Outcome
    | ClientLeft
    | Purge
    | TimerFired
    | StoreState
    | Advice
    | Lend
    | Borrow
    | Doubt
    | Ending
)


@dataclass(slots=True)
class Fetch:
    """Send one attempt to a cache, or straight to a parent or the origin.

    `source` equal to `cache` means no fill; `max_age` 0 means the class's fresh time;
    `rank` 0 keeps no copy; `begin_by`: not to be begun later than this (rule 2), 0 for no bound.
    """

    id: str
    cache: str
    source: str
    rank: int
    timeout: int
    max_age: int
    join: bool = False
    renew: bool = False
    begin_by: int = 0


@dataclass(slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    id: str
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Final answer: rejected, trying again is harmless; `retry_after` 0 gives no advice."""

    id: str
    retry_after: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer: failed, with no promise about its effect."""

    id: str


@dataclass(slots=True)
class Serve:
    """Final answer: the copy that came with the request."""

    id: str


@dataclass(slots=True)
class Keep:
    """Keep the answer that has just come as a copy of the front's own, as long as there is room."""

    id: str


@dataclass(slots=True)
class SetTimer:
    """Ask for a `TimerFired` after `delay`."""

    delay: int
    token: int


@dataclass(slots=True)
class Subscribe:
    """Ask for changes of the list from now on."""


@dataclass(slots=True)
class Consult:
    """Ask the shared store about a name; `Advice` within the span counts, later it comes to nothing.

    `source` empty: who has it; else its fill by `cache` from there is claimed too, for `span` at most.
    """

    id: str
    name: str
    cache: str
    source: str
    within: int
    span: int


@dataclass(slots=True)
class Settled:
    """A request that claimed a fill is over: `cache` has the name, at `rank`; empty: it came to nothing."""

    id: str
    cache: str = ""
    rank: int = 0


@dataclass(slots=True)
class Misled:
    """The cache that the store named for a request has nothing of it."""

    id: str
    name: str
    cache: str


@dataclass(slots=True)
class Short:
    """So much of a budget was lacking just now: `cold:MEMBER@STARTED`, `open:MEMBER@STARTED`, `retry`."""

    key: str
    amount: float


@dataclass(slots=True)
class Lent:
    """What was given up for a `Lend`, from now until then; 0 where there is nothing to spare.

    A `Borrow` of the same amount until the same time gives it back.
    """

    ticket: int
    amount: float
    until: int


@dataclass(slots=True)
class Suspect:
    """This front suspends a member by its own evidence."""

    address: str


Action = (
    Fetch
    | Cancel
    | Refuse
    | Fail
    | Serve
    | Keep
    | SetTimer
    | Subscribe
    | Consult
    | Settled
    | Misled
    | Short
    | Lent
    | Suspect
)
