"""A base for what a test opens and must close, whatever happens in between."""

from __future__ import annotations

from typing import Self


class ClosedAtExit:
    """A context manager that calls `close` at its end."""

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_error: object) -> None:
        self.close()

    def close(self) -> None:
        """Releases what the object holds; may be called more than once."""
        raise NotImplementedError
