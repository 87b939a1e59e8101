"""Errors of the stand-in store. A CommandError is sent as an error reply, whose text begins with a code."""

from __future__ import annotations


class StandinError(Exception):
    """Base of all errors of the stand-in."""


class ScheduleError(StandinError):
    """Error for an invalid fault schedule or listen address; the message names the entry or the address."""


class ProtocolError(StandinError):
    """Error for bytes from a client that are not a command.

    The server sends an error reply and then closes the connection.
    """


class CommandError(StandinError):
    """An error reply: a code, such as ERR, which clients interpret, and a text."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(f"{code} {text}")
        self.code = code
        self.text = text

    @classmethod
    def parse(cls, message: str) -> CommandError:
        """Returns the error for a message that a script returned as its error; the first word is the code."""
        code, _, text = message.partition(" ")
        return cls(code, text)


class GenericError(CommandError):
    """An error with the code ERR, which most errors have."""

    def __init__(self, text: str) -> None:
        super().__init__("ERR", text)


class UnknownCommandError(GenericError):
    """Error for a command that does not exist."""

    def __init__(self, name: str) -> None:
        super().__init__(f"unknown command '{name}', with args beginning with: ")
        self.name = name


class ArgumentCountError(GenericError):
    """Error for a command with too few or too many arguments."""

    def __init__(self, name: str) -> None:
        super().__init__(f"wrong number of arguments for '{name.lower()}' command")
        self.name = name


class CommandSyntaxError(GenericError):
    """Error for a command with invalid options."""

    def __init__(self) -> None:
        super().__init__("syntax error")


class NotIntegerError(GenericError):
    """Error for an argument or value that is not an integer of 64 bits."""

    def __init__(self) -> None:
        super().__init__("value is not an integer or out of range")


class WrongTypeError(CommandError):
    """Error for a key whose value has another type than the command needs."""

    def __init__(self) -> None:
        super().__init__("WRONGTYPE", "Operation against a key holding the wrong kind of value")


class OutOfMemoryError(CommandError):
    """Error for a command that could need memory and that a full store therefore rejects."""

    def __init__(self) -> None:
        super().__init__("OOM", "command not allowed when used memory > 'maxmemory'.")


class ReadOnlyError(CommandError):
    """Error for a command that could change data and that a read-only replica therefore rejects."""

    def __init__(self) -> None:
        super().__init__("READONLY", "You can't write against a read only replica.")


class NoScriptError(CommandError):
    """Error for the digest of a script that the store does not have."""

    def __init__(self) -> None:
        super().__init__("NOSCRIPT", "No matching script. Please use EVAL.")


class NotAuthenticatedError(CommandError):
    """Error for a command on a connection that has not authenticated yet."""

    def __init__(self, text: str = "Authentication required.") -> None:
        super().__init__("NOAUTH", text)


class WrongPasswordError(CommandError):
    """Error for a user that does not exist or a password that is wrong."""

    def __init__(self) -> None:
        super().__init__("WRONGPASS", "invalid username-password pair or user is disabled.")
