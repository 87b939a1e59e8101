"""The Lua scripts that run in a store.

Each operation is one script, which makes it atomic. The scripts are in Lua 5.1, for Redis and compatible
servers. Each script first compares the generation. If the store has another generation, the script returns
the store's generation and does nothing else. All keys except the generation's own begin with
PREFIX:GENERATION:. A new generation therefore makes all older keys unreachable; they expire within a day. The
scripts compute key names, so a store must be a single server, not a cluster. The proxies themselves
distribute names over several stores.

Proxies of two versions that run at the same time use the same loaded scripts of a store, by their SHA-1
digests, and read each other's keys and replies. The Lua text must therefore stay the same byte for byte. A
test checks this. Notes on the Lua code are in Python comments.

Keys under PREFIX:GENERATION: (times in milliseconds; a serial is the number of a process's sync)

    seen:PROCESS   last sync serial of a proxy process                string, expires after 600,000
    purges         invalidation key -> Unix millisecond               hash
    log            invalidation keys by number, highest is newest     sorted set
    number, floor  last number in `log`; latest time that was evicted strings
    fence          last fencing number                                string
    c:NAME         fencing number and record of a fill lease          string, expires with the lease
    h:NAME         rec, at, wrong (fields of a cache location)        hash, expires after `holders.keep`
    needs          PROCESS|QUOTA -> stamp, fresh, left, record        hash of quota requests
    p:PROCESS      quota grants for a process                         list, expires after 5,000
    suspects       PROCESS|ENDPOINT -> the store's millisecond        hash of outlier reports
"""

from __future__ import annotations

from olivepost.shared_store.records import MAX_RECORD_BYTES

# These numbers are part of the scripts' text, so changing one changes the scripts' digests.
MAX_INVALIDATIONS = 8_192  # largest number of invalidations that one store keeps
# Largest number of rows of each kind (such as invalidations or quota requests) in the reply to a sync, the
# periodic exchange with a proxy process. The limit bounds the reply's size and the time for which the script
# keeps the server busy.
MAX_SYNC_ROWS = 256
QUOTA_REQUEST_TTL_MS = 2_500  # time to live of a quota request since a sync last renewed it
OUTLIER_REPORT_TTL_MS = 3_000  # time to live of an outlier report since a sync last renewed it
QUOTA_GRANT_TTL_MS = 5_000  # time to live of the grants for a process that no longer reads them
# Time to live of the key `seen:PROCESS`, which has the number (serial) of the last sync from a proxy process.
# Each sync of the process sets the key again, so the key expires only if the process stops sending syncs.
SERIAL_TTL_MS = 600_000
# Time to live of the keys `purges`, `log`, `number`, `floor`, `needs` and `suspects`. Every sync renews it,
# so that only the keys of an abandoned generation expire. The key `fence` has the same time to live, but
# there every granted lease renews it.
KEY_TTL_MS = 86_400_000

# The beginning (prologue) of all scripts but the last. KEYS[1] is the generation's key in every script. ARGV
# has the generation, the key prefix and the process, followed by the script's own arguments. The prologue
# defines `P` (the prefix of this generation's keys), `seen` (this process's last serial), `time` (the
# server's clock in seconds and microseconds), `now` (the same in Unix milliseconds) and `num` (formats a
# whole number as text).
_PROLOGUE = """
local gen = redis.call('GET', KEYS[1]) or '0'
if gen ~= ARGV[1] or gen == '0' then return {gen, '0'} end
local P = ARGV[2] .. ':' .. gen .. ':'
local seen = redis.call('GET', P .. 'seen:' .. ARGV[3]) or '0'
local time = redis.call('TIME')
local now = time[1] * 1000 + math.floor(time[2] / 1000)
local function num(n) return string.format('%.0f', n) end
"""

# The definition of the function `purged`. The function returns the latest Unix millisecond at which any of
# the given invalidation keys was invalidated. If the floor (the latest time of an evicted invalidation) is
# later, the function returns the floor.
_LATEST_INVALIDATION = """
local function purged(keys)
  local last = tonumber(redis.call('GET', P .. 'floor') or '0')
  for _, at in ipairs(redis.call('HMGET', P .. 'purges', unpack(keys))) do
    if at and tonumber(at) > last then last = tonumber(at) end
  end
  return last
end
"""

# ARGV from index 4: the serial of this sync, the number of the last invalidation read, the count of quota
# requests, the field and the record of each request, then the ids of the endpoints to report as outliers. The
# reply has the generation, the process's previous serial, and four lists: new invalidations (number, key,
# Unix millisecond), quota requests (field, stamp, record), quota grants for this process (records, which are
# deleted from the store), and outlier reports ("process|endpoint").
#
# For each quota request, the store keeps `stamp` (when the request was first made; the oldest request is met
# first), `fresh` (when the request was last renewed) and `left` (the amount that is not granted yet; "-"
# means all of it, "0" means none). A renewed request keeps its stamp until it has been met, and keeps its
# `left` only as long as its record is the same.
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

# ARGV from index 4: the name, the lease's duration in milliseconds (0 means that no lease is requested), the
# lease's record, and the invalidation keys that concern the name. The reply has the generation, the serial,
# and one of these: 'held' and the record of the name's cache location; 'taken', the lease of another request
# and the lease's remaining milliseconds; 'mine' and the fencing number of the lease that was granted; 'none'.
# A location is deleted if it is not younger than the last invalidation, or if its record is too large.
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

# ARGV from index 4: the name, the lease (fencing number and record), a location's record or "", the Unix
# millisecond at which the location's response was generated, and the location's time to live in milliseconds.
# The reply is 'done' if the lease was released, or 'lost' if it was not the name's current lease.
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

# ARGV from index 4: the name, a location's record, and the number of reports that the location is stale. The
# store adds up the numbers of all calls since the location was published, and it deletes the location when
# the sum reaches two. The reply is 'dropped' if the location was
# deleted, 'counted' if it was not, or 'other' if the store has another record or none.
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

# ARGV from index 4: pairs of an invalidation key and the Unix millisecond of the invalidation, which is
# limited to 10 s after the server's clock. If there are more than MAX_INVALIDATIONS keys, the oldest are
# deleted, and the latest time of all deleted ones becomes the floor, which applies to all keys.
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

# ARGV from index 4: the quota request's field, the request's nonce, the process that made the request, the
# granted amount, and the grant's record. The reply is 'handed' if the grant was stored for that process, or
# 'not wanted' if the request was removed, was met, or was renewed with another nonce.
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

# ARGV: the expected generation, and the minimum that the new generation must exceed. If the store has another
# generation, the script changes nothing. This is the only script without the prologue. The new generation is
# also above the server's clock in seconds, so that a store that was restored from a snapshot
# does not use a generation a second time.
ADVANCE_GENERATION = """
local gen = redis.call('GET', KEYS[1]) or '0'
if gen ~= ARGV[1] then return {gen, '0'} end
local new = math.max(tonumber(gen) or 0, tonumber(ARGV[2]), tonumber(redis.call('TIME')[1])) + 1
local text = string.format('%.0f', new)
redis.call('SET', KEYS[1], text)
return {text, '0'}
"""
