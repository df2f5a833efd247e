"""Declares configurations of filbertlead and prints them as INI.

The format is described in docs/CONFIGURATION.md. The system checks a configuration again when it
is pushed; the checks here only let a program fail earlier.
"""

from .checks import ConfigurationError
from .declarations import (
    CallClass,
    Configuration,
    Model,
    Priority,
    Service,
    Workspace,
    hash_key,
)

__all__ = [
    "CallClass",
    "Configuration",
    "ConfigurationError",
    "Model",
    "Priority",
    "Service",
    "Workspace",
    "hash_key",
]
