"""The Lua scripts that run in a store.

Each operation is one script, so that it is atomic. Scripts are Lua 5.1 for servers of the Redis kind. Each
first compares the generation and, where the store has another, returns that and does nothing. All keys but
the generation's own stand under PREFIX:GENERATION:, so that a new generation makes all older keys
unreachable; they expire a day later at most. Scripts make up key names, so a store is a single server, not
a cluster; the proxies spread names over several stores themselves.

Running proxies of two versions share a store's loaded scripts by their SHA-1 digests, and each other's keys
and replies: the Lua text stays byte for byte the same, which a test guards. Notes on it stand in Python
comments.

Keys under PREFIX:GENERATION: (times in milliseconds)

    seen:PROCESS   the last sync serial of a proxy's process          string, expires after 600,000
    purges         invalidation key -> Unix millisecond               hash
    log            invalidation keys by number, the newest highest    sorted set
    number, floor  last number; latest invalidation that was evicted  strings
    fence          last fencing number                                string
    c:NAME         fencing number and record of a fill lease          string, expires with the lease
    h:NAME         rec, at, wrong: a cache location                   hash, expires after `holders.keep`
    needs          PROCESS|BUDGET -> stamp, fresh, left, record       hash: quota requests
    p:PROCESS      quota grants for a process                         list, expires after 5,000
    suspects       PROCESS|ENDPOINT -> the store's millisecond        hash: outlier reports
"""

from __future__ import annotations

from olivepost.shared_store.records import MAX_RECORD_BYTES

# These are part of the scripts' text, hence of their digests.
MAX_INVALIDATIONS = 8_192  # in one store
MAX_SYNC_ROWS = 256  # of each kind in one reply, which bounds its size and the server's time
QUOTA_REQUEST_TTL_MS = 2_500  # since it was last renewed, by a sync
OUTLIER_REPORT_TTL_MS = 3_000  # since it was last renewed, by a sync
QUOTA_GRANT_TTL_MS = 5_000  # of a process that no longer takes its grants
SERIAL_TTL_MS = 600_000  # of a process that no longer syncs
KEY_TTL_MS = 86_400_000  # renewed by every sync: an abandoned generation's keys must expire

# KEYS[1] is the generation's key in every script. ARGV: generation, key prefix, process, then the script's
# own. Defines `P` (key prefix), `seen` (this process's last serial), `time`, `now` (the server's clock, the
# latter in Unix milliseconds) and `num` (a whole number as text).
_PROLOGUE = """
local gen = redis.call('GET', KEYS[1]) or '0'
if gen ~= ARGV[1] or gen == '0' then return {gen, '0'} end
local P = ARGV[2] .. ':' .. gen .. ':'
local seen = redis.call('GET', P .. 'seen:' .. ARGV[3]) or '0'
local time = redis.call('TIME')
local now = time[1] * 1000 + math.floor(time[2] / 1000)
local function num(n) return string.format('%.0f', n) end
"""

# The function `purged`: the latest Unix millisecond of an invalidation of any of the keys, at least the
# floor.
_LATEST_INVALIDATION = """
local function purged(keys)
  local last = tonumber(redis.call('GET', P .. 'floor') or '0')
  for _, at in ipairs(redis.call('HMGET', P .. 'purges', unpack(keys))) do
    if at and tonumber(at) > last then last = tonumber(at) end
  end
  return last
end
"""

# ARGV from 4: serial, number of the last invalidation read, count of quota requests, each request's field
# and record, then endpoint ids. Replies with generation, previous serial, and four lists: new invalidations
# (number, key, Unix millisecond), quota requests (field, stamp, record), quota grants for this process
# (records; taken out), outlier reports ("process|endpoint"). Of a quota request the store keeps `stamp`
# (when it was first made: the oldest is met first), `fresh` (when it was last renewed) and `left` (the
# amount that is not granted yet; "-": all of it, "0": none). A renewed request keeps its stamp until it has
# been met, and its `left` only while its record is the same.
SYNC = (
    _PROLOGUE
    + f"""
redis.call('SET', P .. 'seen:' .. ARGV[3], ARGV[4], 'PX', {SERIAL_TTL_MS})
for _, key in ipairs({{'purges', 'log', 'number', 'floor', 'needs', 'suspects'}}) do
  redis.call('PEXPIRE', P .. key, {KEY_TTL_MS})
end
local purges = {{}}
local log = redis.call('ZRANGEBYSCORE', P .. 'log', '(' .. ARGV[5], '+inf', 'WITHSCORES',
                       'LIMIT', 0, {MAX_SYNC_ROWS})
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
  if not stamp or now - tonumber(fresh) > {QUOTA_REQUEST_TTL_MS} then
    redis.call('HDEL', P .. 'needs', rows[i])
  elseif left ~= '0' and #record <= {MAX_RECORD_BYTES} and #needs < {MAX_SYNC_ROWS} then
    needs[#needs + 1] = {{rows[i], stamp, record}}
  end
end
local pieces = redis.call('LRANGE', P .. 'p:' .. ARGV[3], 0, {MAX_SYNC_ROWS} - 1)
redis.call('DEL', P .. 'p:' .. ARGV[3])
for i = at, #ARGV do redis.call('HSET', P .. 'suspects', ARGV[3] .. '|' .. ARGV[i], num(now)) end
local suspects = {{}}
rows = redis.call('HGETALL', P .. 'suspects')
for i = 1, #rows, 2 do
  if now - (tonumber(rows[i + 1]) or 0) > {OUTLIER_REPORT_TTL_MS} then
    redis.call('HDEL', P .. 'suspects', rows[i])
  elseif #suspects < {MAX_SYNC_ROWS} then
    suspects[#suspects + 1] = rows[i]
  end
end
return {{gen, seen, purges, needs, pieces, suspects}}
"""
)

# ARGV from 4: name, the lease's milliseconds (0: only look up), the lease's record, invalidation keys that
# concern the name. Replies with generation, serial, and one of: 'held' and a location's record; 'taken',
# another process's lease and its remaining milliseconds; 'mine' and the new lease's fencing number; 'none'.
# A location that is not younger than the last invalidation, or too large, is deleted.
LOOK_UP = (
    _PROLOGUE
    + _LATEST_INVALIDATION
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
redis.call('SET', P .. 'fence', num(number), 'PX', {KEY_TTL_MS})
redis.call('SET', P .. 'c:' .. ARGV[4], num(number) .. ' ' .. ARGV[6], 'PX', ARGV[5])
return {{gen, seen, 'mine', num(number)}}
"""
)

# ARGV from 4: name, the lease (number and record), a location's record or "", the Unix millisecond at which
# its response was generated, the location's time to live. Replies 'done', or 'lost' where the lease is
# another.
RELEASE_LEASE = (
    _PROLOGUE
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

# ARGV from 4: name, a location's record, how many times it was found stale. At two it is deleted. Replies
# 'dropped', 'counted', or 'other' where the store has another record.
REPORT_STALE = (
    _PROLOGUE
    + """
if redis.call('HGET', P .. 'h:' .. ARGV[4], 'rec') ~= ARGV[5] then return {gen, seen, 'other'} end
if redis.call('HINCRBY', P .. 'h:' .. ARGV[4], 'wrong', ARGV[6]) >= 2 then
  redis.call('DEL', P .. 'h:' .. ARGV[4])
  return {gen, seen, 'dropped'}
end
return {gen, seen, 'counted'}
"""
)

# ARGV from 4: pairs of an invalidation key and its Unix millisecond, which may be 10 s ahead at most.
# Beyond MAX_INVALIDATIONS the oldest are deleted, and the latest of their times becomes the floor of all
# keys.
INVALIDATE = (
    _PROLOGUE
    + f"""
for i = 4, #ARGV, 2 do
  local at = math.min(tonumber(ARGV[i + 1]), now + 10000)
  local old = redis.call('HGET', P .. 'purges', ARGV[i])
  if not old or tonumber(old) < at then
    redis.call('HSET', P .. 'purges', ARGV[i], num(at))
    redis.call('ZADD', P .. 'log', redis.call('INCR', P .. 'number'), ARGV[i])
  end
end
local over = redis.call('ZCARD', P .. 'log') - {MAX_INVALIDATIONS}
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

# ARGV from 4: the quota request's field, its nonce, the process that made it, the amount, the grant's
# record. Replies 'handed', or 'not wanted' where the request was removed, met or renewed with another nonce.
GRANT_QUOTA = (
    _PROLOGUE
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
redis.call('PEXPIRE', P .. 'p:' .. ARGV[6], {QUOTA_GRANT_TTL_MS})
return {{gen, seen, 'handed'}}
"""
)

# ARGV: the generation expected, the least. The only script without the prologue. The new generation is
# above the server's clock in seconds too, so that one restored from a snapshot is not used a second time.
ADVANCE_GENERATION = """
local gen = redis.call('GET', KEYS[1]) or '0'
if gen ~= ARGV[1] then return {gen, '0'} end
local new = math.max(tonumber(gen) or 0, tonumber(ARGV[2]), tonumber(redis.call('TIME')[1])) + 1
local text = string.format('%.0f', new)
redis.call('SET', KEYS[1], text)
return {text, '0'}
"""
