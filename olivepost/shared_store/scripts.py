"""What a store runs for us: one script for each question, so that each is done whole or not at all.

Lua 5.1 as a store of the Redis kind runs it. Every script first compares the generation and, where it is
another, returns that and does nothing. All keys stand under PREFIX:GENERATION: but the generation itself, so
that one raise makes everything older unreachable; a day later at most it is gone. Since keys are made in the
scripts, one store is one server, not a cluster of them: the fronts spread names over stores themselves.

Layout under PREFIX:GENERATION: (spans in milliseconds)

    seen:PROCESS   the last serial of a front's process              string, 600,000
    purges         object or group -> Unix millisecond               hash
    log            the same keys by number, the newest highest       sorted set
    number, floor  the last number; the latest purge forgotten       strings
    fence          the last claim's number                           string
    c:NAME         number and record of a claim                      string, the claim's own span
    h:NAME         rec, at, wrong: a holder                          hash, the operator's keep
    needs          PROCESS|BUDGET -> stamp, seen, left, record       hash
    p:PROCESS      pieces for a process                              list, 5,000
    suspects       PROCESS|MEMBER -> the store's millisecond         hash
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import sha1

from olivepost.shared_store import messages as ev
from olivepost.shared_store.records import MAX_RECORD_BYTES, RecordError, parse_integer

MOST_PURGES = 8_192  # a store keeps
MOST_ROWS = 256  # needs, pieces, suspicions and purges of one sync
NEED_LASTS, SUSPICION_LASTS, PIECES_LAST, SEEN_LASTS = 2_500, 3_000, 5_000, 600_000  # ms
KEYS_LAST = 86_400_000  # ms, renewed by every sync: what no front goes by any more must end

# KEYS: the generation's key. ARGV: generation, prefix, process, then what each takes.
_HEAD = """
local gen = redis.call('GET', KEYS[1]) or '0'
if gen ~= ARGV[1] or gen == '0' then return {gen, '0'} end
local P = ARGV[2] .. ':' .. gen .. ':'
local seen = redis.call('GET', P .. 'seen:' .. ARGV[3]) or '0'
local time = redis.call('TIME')
local now = time[1] * 1000 + math.floor(time[2] / 1000)
local function num(n) return string.format('%.0f', n) end
"""

_PURGED = """
local function purged(keys)
  local last = tonumber(redis.call('GET', P .. 'floor') or '0')
  for _, at in ipairs(redis.call('HMGET', P .. 'purges', unpack(keys))) do
    if at and tonumber(at) > last then last = tonumber(at) end
  end
  return last
end
"""

# serial, after, count of needs, needs (field, record), suspects
SYNC = (
    _HEAD
    + f"""
redis.call('SET', P .. 'seen:' .. ARGV[3], ARGV[4], 'PX', {SEEN_LASTS})
for _, key in ipairs({{'purges', 'log', 'number', 'floor', 'needs', 'suspects'}}) do
  redis.call('PEXPIRE', P .. key, {KEYS_LAST})
end
local purges = {{}}
local log = redis.call('ZRANGEBYSCORE', P .. 'log', '(' .. ARGV[5], '+inf', 'WITHSCORES',
                       'LIMIT', 0, {MOST_ROWS})
for i = 1, #log, 2 do
  local at = redis.call('HGET', P .. 'purges', log[i])
  if at then purges[#purges + 1] = {{log[i + 1], log[i], at}} end
end
local at = 7
for _ = 1, tonumber(ARGV[6]) do
  local old = redis.call('HGET', P .. 'needs', ARGV[at])
  local stamp, left
  if old then
    local s, l, record = string.match(old, '^(%d+) %d+ (%S+) (.*)$')
    if l ~= '0' then stamp = s end  -- it keeps its place until it has been met
    if record == ARGV[at + 1] then stamp, left = s, l end
  end
  redis.call('HSET', P .. 'needs', ARGV[at],
             (stamp or num(now)) .. ' ' .. num(now) .. ' ' .. (left or '-') .. ' ' .. ARGV[at + 1])
  at = at + 2
end
local needs, rows = {{}}, redis.call('HGETALL', P .. 'needs')
for i = 1, #rows, 2 do
  local stamp, fresh, left, record = string.match(rows[i + 1], '^(%d+) (%d+) (%S+) (.*)$')
  if not stamp or now - tonumber(fresh) > {NEED_LASTS} then
    redis.call('HDEL', P .. 'needs', rows[i])
  elseif left ~= '0' and #record <= {MAX_RECORD_BYTES} and #needs < {MOST_ROWS} then
    needs[#needs + 1] = {{rows[i], stamp, record}}
  end
end
local pieces = redis.call('LRANGE', P .. 'p:' .. ARGV[3], 0, {MOST_ROWS} - 1)
redis.call('DEL', P .. 'p:' .. ARGV[3])
for i = at, #ARGV do redis.call('HSET', P .. 'suspects', ARGV[3] .. '|' .. ARGV[i], num(now)) end
local suspects = {{}}
rows = redis.call('HGETALL', P .. 'suspects')
for i = 1, #rows, 2 do
  if now - (tonumber(rows[i + 1]) or 0) > {SUSPICION_LASTS} then
    redis.call('HDEL', P .. 'suspects', rows[i])
  elseif #suspects < {MOST_ROWS} then
    suspects[#suspects + 1] = rows[i]
  end
end
return {{gen, seen, purges, needs, pieces, suspects}}
"""
)

# name, span (0: only look), record, purge keys
LOOK = (
    _HEAD
    + _PURGED
    + f"""
local holder = redis.call('HMGET', P .. 'h:' .. ARGV[4], 'rec', 'at')
if holder[1] then
  local keys = {{}}
  for i = 7, #ARGV do keys[#keys + 1] = ARGV[i] end
  if not tonumber(holder[2]) or tonumber(holder[2]) <= purged(keys) or #holder[1] > {MAX_RECORD_BYTES} then
    redis.call('DEL', P .. 'h:' .. ARGV[4])
  else
    return {{gen, seen, 'held', holder[1]}}
  end
end
local claim = redis.call('GET', P .. 'c:' .. ARGV[4])
if claim then
  if #claim > {MAX_RECORD_BYTES} then return {{gen, seen, 'none'}} end
  return {{gen, seen, 'taken', claim, redis.call('PTTL', P .. 'c:' .. ARGV[4])}}
end
if ARGV[5] == '0' then return {{gen, seen, 'none'}} end
-- The server's microsecond, so that numbers go on growing after a snapshot whose counter is behind.
local number = math.max(tonumber(redis.call('GET', P .. 'fence') or '0') + 1,
                        time[1] * 1000000 + tonumber(time[2]))
redis.call('SET', P .. 'fence', num(number), 'PX', {KEYS_LAST})
redis.call('SET', P .. 'c:' .. ARGV[4], num(number) .. ' ' .. ARGV[6], 'PX', ARGV[5])
return {{gen, seen, 'mine', num(number)}}
"""
)

# name, claim, record of a holder or empty, its time, how long it is kept
SETTLE = (
    _HEAD
    + """
if redis.call('GET', P .. 'c:' .. ARGV[4]) ~= ARGV[5] then return {gen, seen, 'lost'} end
redis.call('DEL', P .. 'c:' .. ARGV[4])
if ARGV[6] ~= '' then
  redis.call('HSET', P .. 'h:' .. ARGV[4], 'rec', ARGV[6], 'at', ARGV[7], 'wrong', '0')
  redis.call('PEXPIRE', P .. 'h:' .. ARGV[4], ARGV[8])
end
return {gen, seen, 'done'}
"""
)

# name, record, times
WRONG = (
    _HEAD
    + """
if redis.call('HGET', P .. 'h:' .. ARGV[4], 'rec') ~= ARGV[5] then return {gen, seen, 'other'} end
if redis.call('HINCRBY', P .. 'h:' .. ARGV[4], 'wrong', ARGV[6]) >= 2 then
  redis.call('DEL', P .. 'h:' .. ARGV[4])
  return {gen, seen, 'dropped'}
end
return {gen, seen, 'counted'}
"""
)

# purges: key, Unix millisecond
PURGE = (
    _HEAD
    + f"""
for i = 4, #ARGV, 2 do
  local at = math.min(tonumber(ARGV[i + 1]), now + 10000)
  local old = redis.call('HGET', P .. 'purges', ARGV[i])
  if not old or tonumber(old) < at then
    redis.call('HSET', P .. 'purges', ARGV[i], num(at))
    redis.call('ZADD', P .. 'log', redis.call('INCR', P .. 'number'), ARGV[i])
  end
end
local over = redis.call('ZCARD', P .. 'log') - {MOST_PURGES}
if over > 0 then
  for _, key in ipairs(redis.call('ZRANGEBYSCORE', P .. 'log', '-inf', '+inf', 'LIMIT', 0, over)) do
    local at = tonumber(redis.call('HGET', P .. 'purges', key) or '0')
    if at > tonumber(redis.call('GET', P .. 'floor') or '0') then
      redis.call('SET', P .. 'floor', num(at))
    end
    redis.call('HDEL', P .. 'purges', key)
    redis.call('ZREM', P .. 'log', key)
  end
end
return {{gen, seen, 'put'}}
"""
)

# field of the need, nonce, process it is for, amount, record of the piece
GRANT = (
    _HEAD
    + f"""
local need = redis.call('HGET', P .. 'needs', ARGV[4])
if not need then return {{gen, seen, 'not wanted'}} end
local stamp, fresh, left, record = string.match(need, '^(%d+) (%d+) (%S+) (.*)$')
if not stamp or left == '0' or not string.find(record, '"nonce":"' .. ARGV[5] .. '"', 1, true) then
  return {{gen, seen, 'not wanted'}}
end
local amount = tonumber(left) or tonumber(string.match(record, '"amount":([%d%.e%+%-]+)')) or 0
amount = amount - tonumber(ARGV[7])
left = amount > 0 and string.format('%.9g', amount) or '0'
redis.call('HSET', P .. 'needs', ARGV[4], table.concat({{stamp, fresh, left, record}}, ' '))
redis.call('RPUSH', P .. 'p:' .. ARGV[6], ARGV[8])
redis.call('PEXPIRE', P .. 'p:' .. ARGV[6], {PIECES_LAST})
return {{gen, seen, 'handed'}}
"""
)

# KEYS: the generation's key. ARGV: the generation expected, the least
RAISE = """
local gen = redis.call('GET', KEYS[1]) or '0'
if gen ~= ARGV[1] then return {gen, '0'} end
local new = math.max(tonumber(gen) or 0, tonumber(ARGV[2]), tonumber(redis.call('TIME')[1])) + 1
local text = string.format('%.0f', new)
redis.call('SET', KEYS[1], text)
return {text, '0'}
"""

NAMES = {
    "sync": SYNC,
    "look": LOOK,
    "settle": SETTLE,
    "wrong": WRONG,
    "purge": PURGE,
    "grant": GRANT,
    "raise": RAISE,
}
DIGESTS = {name: sha1(text.encode()).hexdigest() for name, text in NAMES.items()}

Word = bytes | str | int | float


@dataclass(frozen=True, slots=True)
class Script:
    """One question as a store takes it: the script, its one key, and its arguments."""

    name: str
    key: str
    arguments: tuple[Word, ...]


def script_of(op: ev.StoreOperation, prefix: str, process: str) -> Script:
    """How a question is put."""
    key = f"{prefix}:generation"
    if isinstance(op, ev.AdvanceGeneration):
        return Script("raise", key, (op.expected, op.least))
    first = (op.generation, prefix, process)
    match op:
        case ev.SyncOperation():
            needs = [word for need in op.needs for word in need]
            return Script("sync", key, (*first, op.serial, op.after, len(op.needs), *needs, *op.suspects))
        case ev.LookUp():
            return Script("look", key, (*first, op.name, op.span_ms, op.record, *op.purges))
        case ev.PublishLocation():
            return Script("settle", key, (*first, op.name, op.claim, op.record, op.at_ms, op.keep_ms))
        case ev.ReportStaleLocation():
            return Script("wrong", key, (*first, op.name, op.record, op.times))
        case ev.PublishInvalidations():
            return Script("purge", key, (*first, *(word for purge in op.purges for word in purge)))
        case ev.GrantQuota():
            return Script("grant", key, (*first, op.need, op.nonce, op.to, repr(op.amount), op.record))


def read_reply(ticket: int, reply: object) -> ev.StoreReply | ev.ReplyLost:
    """A store's answer as an event; what has another form is no answer."""
    if not isinstance(reply, Sequence) or isinstance(reply, (str, bytes)) or len(reply) < 2:
        return ev.ReplyLost(ticket, f"a reply of another form: {reply!r:.60}")
    try:
        generation, serial = parse_integer(reply[0]), parse_integer(reply[1])
    except RecordError:
        generation = serial = -1
    if min(generation, serial) < 0:
        return ev.ReplyLost(ticket, f"a reply without its generation: {reply!r:.60}")
    return ev.StoreReply(ticket, generation, serial, tuple(reply[2:]))
