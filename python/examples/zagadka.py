"""Example: Zagadka Rooms, with one large chain and long briefings that share room histories.

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

# Front desk staff ask about the booking of a group that is waiting in the lobby.
DESK_QUESTION = CallClass(
    name="desk-question",
    priority=Priority.COUNTER,
    first_token_target_ms=470,
    between_tokens_target_ms=55,
    deadline_ms=2_000,
)
# The prompt of a briefing contains a long room history. The call may wait for the runner that has
# the history in its prefix cache, which avoids computing it again.
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
    """Returns the workspace of an escape room house, for its game masters and its front desk."""
    return Workspace(
        name=name,
        # Only the hash is stored. Replace the example key with one of `filbertctl key --workspace`.
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
        # The chain gets most of the contended capacity, and the small houses keep their share.
        house("big-chain", weight=8, limit_tokens_per_s=60_000),
        *(house(name, weight=1, limit_tokens_per_s=8_000) for name in SMALL_HOUSES),
    ),
    models=(STORYTELLER,),
    services=(AVAILABILITY, HOLD, PAYMENT),
)

if __name__ == "__main__":
    print(CONFIGURATION.to_ini(), end="")
