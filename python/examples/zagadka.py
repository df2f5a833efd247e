"""Zagadka Rooms: a chain that outweighs all others, and long briefings that share histories.

Prints the configuration: `python3 -m examples.zagadka > zagadka.ini`.
"""

from filbertlead_config import (
    CallClass,
    Configuration,
    Model,
    Priority,
    Service,
    Workspace,
    hash_key,
)

# Front desk staff ask about a group's booking while the group waits in the lobby.
DESK_QUESTION = CallClass(
    name="desk-question",
    priority=Priority.COUNTER,
    first_token_target_ms=470,
    between_tokens_target_ms=55,
    deadline_ms=2_000,
)
# A briefing repeats a large room history. It may wait a little for the runner that has the
# history in its cache, which saves computing it again.
BRIEFING = CallClass(
    name="briefing",
    priority=Priority.DEFERRABLE,
    first_token_target_ms=4_000,
    between_tokens_target_ms=100,
    deadline_ms=45_000,
)

STORYTELLER = Model(
    name="storyteller",
    weights_bytes=28_000_000_000,
    adapters=("bulgarian",),
    copies_per_data_center=2,
)

AVAILABILITY = Service(name="availability", pool="booking", repeatable=True, timeout_ms=1_000)
HOLD = Service(name="hold", pool="booking", repeatable=False, timeout_ms=5_000)
PAYMENT = Service(name="payment", pool="booking", repeatable=False, timeout_ms=8_000)

SMALL_HOUSES = ("plovdiv-cellar", "varna-lighthouse", "ruse-library", "sofia-attic")


def house(name: str, weight: int, limit_tokens_per_s: int) -> Workspace:
    """An escape room house with its game masters and its front desk."""
    return Workspace(
        name=name,
        # Only the hash is kept; replace the example key by one of `filbertctl key --workspace`.
        key_sha256_hex=hash_key(f"example key of {name}"),
        weight=weight,
        limit_tokens_per_s=limit_tokens_per_s,
        models=("storyteller", "storyteller:bulgarian"),
        services=("availability", "hold", "payment"),
        classes=(DESK_QUESTION, BRIEFING),
    )


CONFIGURATION = Configuration(
    operator="zagadka",
    workspaces=(
        # The chain gets most of what is contended, and the small houses keep their share.
        house("big-chain", weight=8, limit_tokens_per_s=60_000),
        *(house(name, weight=1, limit_tokens_per_s=8_000) for name in SMALL_HOUSES),
    ),
    models=(STORYTELLER,),
    services=(AVAILABILITY, HOLD, PAYMENT),
)

if __name__ == "__main__":
    print(CONFIGURATION.to_ini(), end="")
