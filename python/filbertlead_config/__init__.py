"""Library to declare configurations of filbertlead and print them as INI.

docs/CONFIGURATION.md describes the format. `filbertctl push` checks a configuration again; the
checks of this library only report errors earlier.
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
