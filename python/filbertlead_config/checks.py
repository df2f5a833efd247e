"""Checks a configuration and reports all of its errors at once."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .declarations import CallClass, Configuration, Model, Service, Workspace

NAME_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,63}", re.ASCII)
KEY_HASH_PATTERN = re.compile(r"[0-9a-fA-F]{64}", re.ASCII)


class ConfigurationError(ValueError):
    """Raised for an invalid configuration; `faults` has one message per error, with its remedy."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


def check(configuration: Configuration) -> None:
    """Raises `ConfigurationError` if the configuration is invalid."""
    faults = list(find_faults(configuration))
    if faults:
        raise ConfigurationError(faults)


def find_faults(configuration: Configuration) -> Iterator[str]:
    """Yields one message per error."""
    yield from check_name("configuration", "operator", configuration.operator)
    yield from check_minimum("configuration", "parent_version", configuration.parent_version, 0)
    declared = (configuration.workspaces, configuration.models, configuration.services)
    for kind, items in zip(("workspace", "model", "service"), declared):
        yield from check_names(kind, (item.name for item in items))
    for workspace in configuration.workspaces:
        yield from check_workspace(workspace, configuration)
    for model in configuration.models:
        yield from check_model(model)
    for service in configuration.services:
        yield from check_service(service)


def check_workspace(workspace: Workspace, configuration: Configuration) -> Iterator[str]:
    """Checks a workspace, its classes, and its references to models and services."""
    section = f"workspace {workspace.name}"
    if not KEY_HASH_PATTERN.fullmatch(workspace.key_sha256_hex):
        yield f"[{section}] key_sha256_hex: expected 64 hexadecimal digits; use hash_key(key)"
    yield from check_minimum(section, "weight", workspace.weight, 1)
    yield from check_minimum(section, "limit_tokens_per_s", workspace.limit_tokens_per_s, 0)
    yield from check_minimum(section, "limit_requests_per_s", workspace.limit_requests_per_s, 0)
    yield from check_references(section, "models", workspace.models, model_names(configuration))
    services = {service.name for service in configuration.services}
    yield from check_references(section, "services", workspace.services, services)
    if workspace.models and not workspace.classes:
        yield f"[{section}] has no class of calls; give it at least one CallClass"
    yield from check_names(f"class {workspace.name}/", (c.name for c in workspace.classes))
    for call_class in workspace.classes:
        yield from check_class(f"class {workspace.name}/{call_class.name}", call_class)


def check_class(section: str, call_class: CallClass) -> Iterator[str]:
    """Checks the latency targets and the deadline of a class."""
    keys = ("first_token_target_ms", "between_tokens_target_ms", "deadline_ms")
    for key in keys:
        yield from check_minimum(section, key, getattr(call_class, key), 1)
    if call_class.deadline_ms < call_class.first_token_target_ms:
        target_ms = call_class.first_token_target_ms
        yield f"[{section}] deadline_ms = {call_class.deadline_ms}: expected at least {target_ms}"


def check_model(model: Model) -> Iterator[str]:
    """Checks the numbers of a model and the names of its adapters."""
    section = f"model {model.name}"
    yield from check_minimum(section, "weights_bytes", model.weights_bytes, 1)
    yield from check_minimum(section, "copies_per_data_center", model.copies_per_data_center, 0)
    yield from check_names(f"adapter of model {model.name},", model.adapters)


def check_service(service: Service) -> Iterator[str]:
    """Checks the pool and the timeout of a service."""
    section = f"service {service.name}"
    yield from check_name(section, "pool", service.pool)
    yield from check_minimum(section, "timeout_ms", service.timeout_ms, 1)


def model_names(configuration: Configuration) -> set[str]:
    """Returns the names of all models, alone and with each of their adapters."""
    found = {model.name for model in configuration.models}
    for model in configuration.models:
        found.update(f"{model.name}:{adapter}" for adapter in model.adapters)
    return found


def check_references(
    section: str, key: str, references: Iterable[str], declared: set[str]
) -> Iterator[str]:
    """Checks that all referenced names are declared, and that none is listed twice."""
    for name, count in Counter(references).items():
        if name not in declared:
            yield f"[{section}] {key} names {name}, which is not declared; declare or remove it"
        if count > 1:
            yield f"[{section}] {key} names {name} {count} times; name it once"


def check_names(kind: str, names: Iterable[str]) -> Iterator[str]:
    """Checks that names are valid and unique."""
    for name, count in Counter(names).items():
        yield from check_name(kind, "name", name)
        if count > 1:
            yield f"{kind} {name} is declared {count} times; keep one of them"


def check_name(section: str, key: str, name: str) -> Iterator[str]:
    """Checks that a name has a valid length and only valid characters."""
    if not NAME_PATTERN.fullmatch(name):
        allowed = "1 to 63 letters, digits, '-', '_' or '.'"
        yield f"[{section}] {key} = {name!r}: expected {allowed}; rename it"


def check_minimum(section: str, key: str, value: int, minimum: int) -> Iterator[str]:
    """Checks that a value is a whole number of at least `minimum`."""
    if isinstance(value, bool) or not isinstance(value, int) or value < minimum:
        yield f"[{section}] {key} = {value}: expected a whole number from {minimum}; correct it"
