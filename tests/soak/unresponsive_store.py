"""Stand-ins for shared stores that accept connections and never respond."""

from __future__ import annotations

from pathlib import Path

from examples.toy_server import address_of, listen
from tests.closed_at_exit import ClosedAtExit


class UnresponsiveStores(ClosedAtExit):
    """Listeners whose connections are not read, and the operator file that names them as stores."""

    def __init__(self, count: int, folder: Path) -> None:
        self._listeners = [listen(0) for _ in range(count)]
        self.variables: dict[str, str] = {}  # environment variables of a proxy that uses the stores
        if count:
            path = folder / "operator.yaml"
            path.write_text(self._operator_file())
            self.variables = {"OLIVEPOST_OPERATOR": str(path)}

    def _operator_file(self) -> str:
        lines = ["sharing:", "  branch: west", "  stores:"]
        for number, listener in enumerate(self._listeners):
            lines.append(f"    - {{name: store-{number}, address: '{address_of(listener)}'}}")
        return "\n".join(lines) + "\n"

    def close(self) -> None:
        """Closes the listeners."""
        for listener in self._listeners:
            listener.close()
