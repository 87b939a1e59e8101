"""A base class for resources that a test opens and must close, even if the test fails."""

from __future__ import annotations

from typing import Self


class ClosedAtExit:
    """A context manager that calls `close` when its block ends."""

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_error: object) -> None:
        self.close()

    def close(self) -> None:
        """Releases the object's resources. A second call has no effect."""
        raise NotImplementedError
