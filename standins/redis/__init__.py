"""A stand-in for a Redis store, with the commands that the client library and the proxies use.

It is written from the public documentation: the RESP2 and RESP3 protocol specification ("RESP data types",
"Client handshake", "Inline commands"), the command reference of each command, "Transactions", "Redis
Pub/Sub", "Scripting with Lua" and "Redis Lua API reference" (data type conversion, error handling).
"""
