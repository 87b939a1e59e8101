"""One store's client, set up to do what it is told once: no retries, no long waits."""

from __future__ import annotations

import ssl
from pathlib import Path
from typing import Any

import redis
from redis.backoff import NoBackoff
from redis.credentials import CredentialProvider
from redis.maint_notifications import MaintNotificationsConfig
from redis.retry import Retry

from olivepost.config import SECOND
from olivepost.operator_config.units import read_secret
from olivepost.shared_store.messages import StoreOperation
from olivepost.shared_store.scripts import DIGESTS, SCRIPT_TEXTS, encode_operation
from olivepost.shared_store.settings import SharedStoreSettings, StoreSettings


class PasswordFile(CredentialProvider):
    """User and password, the latter from its file at each connection."""

    def __init__(self, user: str | None, path: Path) -> None:
        self._user, self._path = user, path

    def get_credentials(self) -> tuple[str] | tuple[str, str]:
        try:
            password = read_secret(self._path)
        except (OSError, ValueError) as fault:
            raise redis.AuthenticationError(f"{self._path}: the password can't be read: {fault}") from fault
        return (self._user, password) if self._user else (password,)


def connect(settings: SharedStoreSettings, store: StoreSettings, connections: int = 2) -> redis.Redis:
    """A client with a pool of its own. Nothing is sent yet.

    A command that was cut off may have run. Sent again it could lend a piece twice, so none is repeated."""
    host, port = store.address
    extra: dict[str, Any] = {}
    if store.tls is not None:
        tls = store.tls
        extra = {
            "ssl": True,
            "ssl_cert_reqs": "required",
            "ssl_check_hostname": True,
            "ssl_ca_certs": str(tls.ca_file),
            "ssl_min_version": ssl.TLSVersion.TLSv1_2,
            "ssl_certfile": str(tls.cert_file) if tls.cert_file else None,
            "ssl_keyfile": str(tls.key_file) if tls.key_file else None,
        }
    if store.password_file is not None:
        extra["credential_provider"] = PasswordFile(store.user, store.password_file)
    return redis.Redis(
        host=host,
        port=port,
        db=store.database,
        protocol=3,
        decode_responses=False,
        socket_timeout=settings.give_up / SECOND,
        socket_connect_timeout=settings.connect / SECOND,
        retry=Retry(NoBackoff(), 0),
        max_connections=connections,
        health_check_interval=0,
        maint_notifications_config=MaintNotificationsConfig(enabled=False),
        **extra,
    )


def run(
    client: redis.Redis, ops: list[StoreOperation], prefix: str, process: str, transaction: bool
) -> list[object]:
    """Runs questions in one exchange; what each got: a reply, or the exception it raised.

    Raises redis.RedisError where the exchange as a whole failed: then none is known to have run or not."""
    made = [encode_operation(op, prefix, process) for op in ops]
    replies = _exchange(client, made, transaction)
    lacking = [at for at, reply in enumerate(replies) if isinstance(reply, redis.exceptions.NoScriptError)]
    if lacking:  # the store has restarted: these have surely not run
        for text in SCRIPT_TEXTS.values():
            client.script_load(text)
        again = _exchange(client, [made[at] for at in lacking], transaction)
        for at, reply in zip(lacking, again, strict=True):
            replies[at] = reply
    return replies


def _exchange(client: redis.Redis, made: list[Any], transaction: bool) -> list[object]:
    pipe: Any = client.pipeline(transaction=transaction)
    for script in made:
        pipe.execute_command("EVALSHA", DIGESTS[script.name], 1, script.key, *script.arguments)
    return list(pipe.execute(raise_on_error=False))
