"""The declarations. Fields carry their unit as a suffix."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from . import checks, ini


class Priority(Enum):
    """Which calls go first at the door and in the engines."""

    COUNTER = "counter"
    """Somebody stands at the counter and waits for the answer."""

    DEFERRABLE = "deferrable"
    """The answer can wait up to the deadline of its class."""


@dataclass(frozen=True, kw_only=True)
class CallClass:
    """A class of calls with its latency target and priority."""

    name: str
    priority: Priority
    first_token_target_ms: int
    between_tokens_target_ms: int
    deadline_ms: int


@dataclass(frozen=True, kw_only=True)
class Workspace:
    """A customer's workspace: who may call what, how much, and how fast it must be answered.

    Limits count over all nodes; 0 is no limit. Models are named as `model` or `model:adapter`.
    """

    name: str
    key_sha256_hex: str
    classes: Sequence[CallClass] = ()
    models: Sequence[str] = ()
    services: Sequence[str] = ()
    weight: int = 1
    limit_tokens_per_s: int = 0
    limit_requests_per_s: int = 0


@dataclass(frozen=True, kw_only=True)
class Model:
    """A model that engines load from the weight store."""

    name: str
    weights_bytes: int
    adapters: Sequence[str] = ()
    copies_per_data_center: int = 1


@dataclass(frozen=True, kw_only=True)
class Service:
    """A plain service beside the model engines.

    A call that is not repeatable, such as a booking, runs at most once.
    """

    name: str
    pool: str
    repeatable: bool
    timeout_ms: int = 2000


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """A whole configuration.

    `parent_version` is the version it is built on: a push is refused when another operator's
    version came into force in the meantime.
    """

    operator: str
    parent_version: int = 0
    workspaces: Sequence[Workspace] = field(default_factory=tuple)
    models: Sequence[Model] = field(default_factory=tuple)
    services: Sequence[Service] = field(default_factory=tuple)

    def to_ini(self) -> str:
        """Prints the configuration; raises `ConfigurationError` with all faults."""
        checks.check(self)
        return ini.print_configuration(self)


def hash_key(key: str) -> str:
    """Hashes a workspace key, so that the key itself is never stored."""
    return hashlib.sha256(key.encode()).hexdigest()
