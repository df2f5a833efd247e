"""Formats a configuration as INI; docs/CONFIGURATION.md describes the format."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .declarations import CallClass, Configuration, Model, Service, Workspace

Value = int | str


def format_configuration(configuration: Configuration) -> str:
    """Returns the INI text, with sections in the order of their declaration."""
    header = {"operator": configuration.operator, "parent_version": configuration.parent_version}
    sections = [format_section("configuration", header)]
    for workspace in configuration.workspaces:
        sections.append(format_workspace(workspace))
        sections.extend(format_class(workspace, item) for item in workspace.classes)
    sections.extend(format_model(model) for model in configuration.models)
    sections.extend(format_service(service) for service in configuration.services)
    return "\n".join(sections)


def format_workspace(workspace: Workspace) -> str:
    """Returns the section of a workspace, without its classes."""
    return format_section(
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


def format_class(workspace: Workspace, call_class: CallClass) -> str:
    """Returns the section of a class of calls."""
    return format_section(
        f"class {workspace.name}/{call_class.name}",
        {
            "priority": call_class.priority.value,
            "first_token_target_ms": call_class.first_token_target_ms,
            "between_tokens_target_ms": call_class.between_tokens_target_ms,
            "deadline_ms": call_class.deadline_ms,
        },
    )


def format_model(model: Model) -> str:
    """Returns the section of a model."""
    return format_section(
        f"model {model.name}",
        {
            "adapters": ", ".join(model.adapters),
            "weights_bytes": model.weights_bytes,
            "copies_per_data_center": model.copies_per_data_center,
        },
    )


def format_service(service: Service) -> str:
    """Returns the section of a plain service."""
    return format_section(
        f"service {service.name}",
        {
            "pool": service.pool,
            "repeatable": "yes" if service.repeatable else "no",
            "timeout_ms": service.timeout_ms,
        },
    )


def format_section(name: str, values: dict[str, Value]) -> str:
    """Returns a section with one line per key."""
    return f"[{name}]\n" + "".join(f"{key} = {value}\n" for key, value in values.items())
