"""HTTP/1.1 without I/O (RFC 9112): parsing of requests and responses, and encoding of heads.

`messages` has the types, `fields` parses field lines, and `parser` is the base of `request_parser`, which the
downstream connections use, and `response_parser`, which the discovery client uses. `bodies` has the framings
of a response's body, and `encoding` encodes heads.
"""
