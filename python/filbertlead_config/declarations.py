"""Types that a configuration is declared with. Field names end with their unit."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from . import checks, ini


class Priority(Enum):
    """Priority of calls in admission and in the engines."""

    COUNTER = "counter"
    """Somebody waits at the counter for the response; goes first."""

    DEFERRABLE = "deferrable"
    """The response can be delayed up to the deadline of its class."""


@dataclass(frozen=True, kw_only=True)
class CallClass:
    """A class of calls with its latency targets, deadline and priority."""

    name: str
    priority: Priority
    first_token_target_ms: int
    between_tokens_target_ms: int
    deadline_ms: int


@dataclass(frozen=True, kw_only=True)
class Workspace:
    """A customer's workspace: its key, call classes, permitted models and services, and limits.

    Limits apply to the sum over all nodes; 0 means no limit. Models are named `model` or
    `model:adapter`.
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
    """A plain service, which runs on application servers instead of engines.

    A call that is not repeatable, such as a booking, runs at most once.
    """

    name: str
    pool: str
    repeatable: bool
    timeout_ms: int = 2000


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """A complete configuration.

    `parent_version` is the version that it is based on: a push is rejected if another version came
    into force since then.
    """

    operator: str
    parent_version: int = 0
    workspaces: Sequence[Workspace] = field(default_factory=tuple)
    models: Sequence[Model] = field(default_factory=tuple)
    services: Sequence[Service] = field(default_factory=tuple)

    def to_ini(self) -> str:
        """Returns the configuration as INI; raises `ConfigurationError` if it is invalid."""
        checks.check(self)
        return ini.format_configuration(self)


def hash_key(key: str) -> str:
    """Returns the SHA-256 hash of a workspace key; the key itself is never stored."""
    return hashlib.sha256(key.encode()).hexdigest()
