"""Errors of the stand-in store. A CommandError is sent as an error reply, whose text begins with a code."""

from __future__ import annotations


class StandinError(Exception):
    """Base of all errors of the stand-in."""


class ScheduleError(StandinError):
    """A fault schedule is invalid; the message names the entry."""


class ProtocolError(StandinError):
    """A client sent bytes that are not a command; the connection is closed after an error reply."""


class CommandError(StandinError):
    """An error reply: a code that clients interpret, and a text."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(f"{code} {text}")
        self.code = code
        self.text = text

    @classmethod
    def parse(cls, message: str) -> CommandError:
        """The error of a script's one text: its code is all before the first space."""
        code, _, text = message.partition(" ")
        return cls(code, text)


class GenericError(CommandError):
    """An error with the code ERR, which most errors have."""

    def __init__(self, text: str) -> None:
        super().__init__("ERR", text)


class UnknownCommandError(GenericError):
    """A command does not exist."""

    def __init__(self, name: str) -> None:
        super().__init__(f"unknown command '{name}', with args beginning with: ")
        self.name = name


class ArgumentCountError(GenericError):
    """A command was given too few or too many arguments."""

    def __init__(self, name: str) -> None:
        super().__init__(f"wrong number of arguments for '{name.lower()}' command")
        self.name = name


class CommandSyntaxError(GenericError):
    """A command's options are invalid."""

    def __init__(self) -> None:
        super().__init__("syntax error")


class NotIntegerError(GenericError):
    """An argument or value is not an integer of 64 bits."""

    def __init__(self) -> None:
        super().__init__("value is not an integer or out of range")


class WrongTypeError(CommandError):
    """A key's value has another type than the command needs."""

    def __init__(self) -> None:
        super().__init__("WRONGTYPE", "Operation against a key holding the wrong kind of value")


class OutOfMemoryError(CommandError):
    """The store is full, and the command may need memory."""

    def __init__(self) -> None:
        super().__init__("OOM", "command not allowed when used memory > 'maxmemory'.")


class ReadOnlyError(CommandError):
    """The store is a read-only replica, and the command may write."""

    def __init__(self) -> None:
        super().__init__("READONLY", "You can't write against a read only replica.")


class NoScriptError(CommandError):
    """The store has no script with this digest."""

    def __init__(self) -> None:
        super().__init__("NOSCRIPT", "No matching script. Please use EVAL.")


class NotAuthenticatedError(CommandError):
    """The connection has not authenticated yet."""

    def __init__(self, text: str = "Authentication required.") -> None:
        super().__init__("NOAUTH", text)


class WrongPasswordError(CommandError):
    """The user does not exist or the password is wrong."""

    def __init__(self) -> None:
        super().__init__("WRONGPASS", "invalid username-password pair or user is disabled.")
