"""Prints a configuration as INI; the format is described in docs/CONFIGURATION.md."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .declarations import CallClass, Configuration, Model, Service, Workspace

Value = int | str


def print_configuration(configuration: Configuration) -> str:
    """Prints all sections in the order of their declaration."""
    head = {"operator": configuration.operator, "parent_version": configuration.parent_version}
    sections = [print_section("configuration", head)]
    for workspace in configuration.workspaces:
        sections.append(print_workspace(workspace))
        sections.extend(print_class(workspace, item) for item in workspace.classes)
    sections.extend(print_model(model) for model in configuration.models)
    sections.extend(print_service(service) for service in configuration.services)
    return "\n".join(sections)


def print_workspace(workspace: Workspace) -> str:
    """Prints a workspace."""
    return print_section(
        f"workspace {workspace.name}",
        {
            "key_sha256_hex": workspace.key_sha256_hex,
            "weight": workspace.weight,
            "limit_tokens_per_s": workspace.limit_tokens_per_s,
            "limit_requests_per_s": workspace.limit_requests_per_s,
            "models": ", ".join(workspace.models),
            "services": ", ".join(workspace.services),
        },
    )


def print_class(workspace: Workspace, call_class: CallClass) -> str:
    """Prints a class of calls."""
    return print_section(
        f"class {workspace.name}/{call_class.name}",
        {
            "priority": call_class.priority.value,
            "first_token_target_ms": call_class.first_token_target_ms,
            "between_tokens_target_ms": call_class.between_tokens_target_ms,
            "deadline_ms": call_class.deadline_ms,
        },
    )


def print_model(model: Model) -> str:
    """Prints a model."""
    return print_section(
        f"model {model.name}",
        {
            "adapters": ", ".join(model.adapters),
            "weights_bytes": model.weights_bytes,
            "copies_per_data_center": model.copies_per_data_center,
        },
    )


def print_service(service: Service) -> str:
    """Prints a plain service."""
    return print_section(
        f"service {service.name}",
        {
            "pool": service.pool,
            "repeatable": "yes" if service.repeatable else "no",
            "timeout_ms": service.timeout_ms,
        },
    )


def print_section(name: str, lines: dict[str, Value]) -> str:
    """Prints a section."""
    return f"[{name}]\n" + "".join(f"{key} = {value}\n" for key, value in lines.items())
