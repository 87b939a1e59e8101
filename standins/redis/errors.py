"""Errors of the stand-in store; one that a command gives is a response, whose text begins with a code."""

from __future__ import annotations


class StandinError(Exception):
    """Base of all errors of the stand-in."""


class ScheduleError(StandinError):
    """A fault schedule that can't be played; the message names the entry."""


class ProtocolError(StandinError):
    """Bytes that are no command; the connection ends with an error response."""


class CommandError(StandinError):
    """An error response: a code that clients know, and a text."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(f"{code} {text}")
        self.code = code
        self.text = text

    @classmethod
    def parse(cls, message: str) -> CommandError:
        """The error that a script returned as one text; a text of one word is a code."""
        code, _, text = message.partition(" ")
        return cls(code, text)


class GenericError(CommandError):
    """An error of the code ERR, which most have."""

    def __init__(self, text: str) -> None:
        super().__init__("ERR", text)


class UnknownCommandError(GenericError):
    """There is no command of this name."""

    def __init__(self, name: str) -> None:
        super().__init__(f"unknown command '{name}', with args beginning with: ")
        self.name = name


class ArgumentCountError(GenericError):
    """A command was given too few or too many arguments."""

    def __init__(self, name: str) -> None:
        super().__init__(f"wrong number of arguments for '{name.lower()}' command")
        self.name = name


class CommandSyntaxError(GenericError):
    """A command's options can't be understood."""

    def __init__(self) -> None:
        super().__init__("syntax error")


class NotIntegerError(GenericError):
    """An argument or value should be an integer of 64 bits."""

    def __init__(self) -> None:
        super().__init__("value is not an integer or out of range")


class WrongTypeError(CommandError):
    """The key holds a value of another kind than the command's."""

    def __init__(self) -> None:
        super().__init__("WRONGTYPE", "Operation against a key holding the wrong kind of value")


class OutOfMemoryError(CommandError):
    """The store is full and the command may need memory."""

    def __init__(self) -> None:
        super().__init__("OOM", "command not allowed when used memory > 'maxmemory'.")


class ReadOnlyError(CommandError):
    """The store is a read-only replica and the command may write."""

    def __init__(self) -> None:
        super().__init__("READONLY", "You can't write against a read only replica.")


class NoScriptError(CommandError):
    """The store has no script of this digest."""

    def __init__(self) -> None:
        super().__init__("NOSCRIPT", "No matching script. Please use EVAL.")


class NotAuthenticatedError(CommandError):
    """The connection has not authenticated yet."""

    def __init__(self, text: str = "Authentication required.") -> None:
        super().__init__("NOAUTH", text)


class WrongPasswordError(CommandError):
    """The user or the password is wrong."""

    def __init__(self) -> None:
        super().__init__("WRONGPASS", "invalid username-password pair or user is disabled.")
