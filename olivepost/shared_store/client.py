"""The Redis client of one store.

The client never repeats a command, its timeouts are short, and it reads the password each time it connects.
"""

from __future__ import annotations

import ssl
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import redis
from redis.backoff import NoBackoff
from redis.credentials import CredentialProvider
from redis.maint_notifications import MaintNotificationsConfig
from redis.retry import Retry

from olivepost.operator_config.units import read_secret
from olivepost.shared_store.operations import StoreOperation
from olivepost.shared_store.scripts import DIGESTS, SCRIPT_TEXTS, ScriptCall, encode_operation
from olivepost.shared_store.settings import SharedStoreSettings, StoreSettings, StoreTls
from olivepost.units import SECOND

PROTOCOL_VERSION = 3  # RESP3
DEFAULT_CONNECTIONS = 2  # one for a scan of the keys, and one for commands that are sent during the scan


class PasswordFile(CredentialProvider):
    """Credentials whose password is read from a file each time the client connects.

    The password may therefore change while the proxy runs.
    """

    def __init__(self, user: str | None, path: Path) -> None:
        self._user = user
        self._path = path

    def get_credentials(self) -> tuple[str] | tuple[str, str]:
        """Returns the user, if one is set, and the password.

        Raises redis.AuthenticationError if the password can't be read.
        """
        try:
            password = read_secret(self._path)
        except (OSError, ValueError) as error:
            raise redis.AuthenticationError(f"{self._path}: the password can't be read: {error}") from error
        return (self._user, password) if self._user else (password,)


def create_client(
    settings: SharedStoreSettings, store: StoreSettings, connections: int = DEFAULT_CONNECTIONS
) -> redis.Redis:
    """Returns a client that has its own connection pool and connects when it sends its first command.

    The client never repeats a command. A command whose reply was lost may have run. If that command
    granted quota, a repetition would grant the quota twice.
    """
    host, port = store.address
    return redis.Redis(
        host=host,
        port=port,
        db=store.database,
        protocol=PROTOCOL_VERSION,
        decode_responses=False,
        socket_timeout=settings.give_up / SECOND,
        socket_connect_timeout=settings.connect / SECOND,
        retry=Retry(NoBackoff(), 0),
        max_connections=connections,
        health_check_interval=0,
        maint_notifications_config=MaintNotificationsConfig(enabled=False),
        **_tls_options(store.tls),
        **_credential_options(store),
    )


def _tls_options(tls: StoreTls | None) -> dict[str, Any]:
    if tls is None:
        return {}
    return {
        "ssl": True,
        "ssl_cert_reqs": "required",
        "ssl_check_hostname": True,
        "ssl_ca_certs": str(tls.ca_file),
        "ssl_min_version": ssl.TLSVersion.TLSv1_2,
        "ssl_certfile": str(tls.cert_file) if tls.cert_file else None,
        "ssl_keyfile": str(tls.key_file) if tls.key_file else None,
    }


def _credential_options(store: StoreSettings) -> dict[str, Any]:
    if store.password_file is None:
        return {}
    return {"credential_provider": PasswordFile(store.user, store.password_file)}


def run_operations(
    client: redis.Redis,
    operations: Sequence[StoreOperation],
    prefix: str,
    incarnation: str,
    *,
    is_transaction: bool,
) -> list[object]:
    """Runs operations and returns the reply, or the exception, of each.

    All operations are sent in one round trip. If the store does not have the script of an operation, all
    scripts are loaded, and the operations that did not run are sent again. Raises redis.RedisError or OSError
    if a round trip fails; any of the operations may have run in that case.
    """
    calls = [encode_operation(operation, prefix, incarnation) for operation in operations]
    replies = _execute(client, calls, is_transaction)
    not_run = [
        index for index, reply in enumerate(replies) if isinstance(reply, redis.exceptions.NoScriptError)
    ]
    if not_run:  # the store has no scripts, for example because it has restarted
        _load_scripts(client)
        repeated = _execute(client, [calls[index] for index in not_run], is_transaction)
        for index, reply in zip(not_run, repeated, strict=True):
            replies[index] = reply
    return replies


def _load_scripts(client: redis.Redis) -> None:
    for text in SCRIPT_TEXTS.values():
        client.script_load(text)


def _execute(client: redis.Redis, calls: Sequence[ScriptCall], is_transaction: bool) -> list[object]:
    pipeline: Any = client.pipeline(transaction=is_transaction)
    for call in calls:
        pipeline.execute_command("EVALSHA", DIGESTS[call.name], 1, call.key, *call.arguments)
    return list(pipeline.execute(raise_on_error=False))
