"""Example: Piton Frost Outfitters, where four counters and a back office share one system.

Prints the configuration: `python3 -m examples.piton_frost > piton_frost.ini`.
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

# A guest waits at the counter: the first token should come within 470 ms. After two seconds the
# call is refused, so that the desk can answer without the model.
QUESTION = CallClass(
    name="question",
    priority=Priority.COUNTER,
    first_token_target_ms=470,
    between_tokens_target_ms=55,
    deadline_ms=2_000,
)
# A fitting plan is drafted from a long rental history and is not urgent.
FITTING_PLAN = CallClass(
    name="fitting-plan",
    priority=Priority.DEFERRABLE,
    first_token_target_ms=5_000,
    between_tokens_target_ms=100,
    deadline_ms=30_000,
)

FITTER = Model(
    name="fitter",
    weights_bytes=16_000_000_000,
    adapters=("boots", "skis"),
    copies_per_data_center=2,
)

STOCK = Service(name="stock", pool="desk", repeatable=True, timeout_ms=1_000)
BOOKING = Service(name="booking", pool="desk", repeatable=False, timeout_ms=5_000)
DEPOSIT = Service(name="deposit", pool="desk", repeatable=False, timeout_ms=5_000)


def counter(name: str, weight: int, limit_tokens_per_s: int) -> Workspace:
    """Returns the workspace of a counter, which may call all models and services."""
    return Workspace(
        name=name,
        # Only the hash is stored. Replace the example key with one of `filbertctl key --workspace`.
        key_sha256_hex=hash_key(f"example key of {name}"),
        weight=weight,
        limit_tokens_per_s=limit_tokens_per_s,
        models=("fitter", "fitter:boots", "fitter:skis"),
        services=("stock", "booking", "deposit"),
        classes=(QUESTION, FITTING_PLAN),
    )


BACK_OFFICE = Workspace(
    name="back-office",
    key_sha256_hex=hash_key("example key of back-office"),
    limit_tokens_per_s=2_000,
    models=("fitter",),
    services=("stock",),
    classes=(FITTING_PLAN,),
)

CONFIGURATION = Configuration(
    operator="piton-frost",
    workspaces=(
        counter("summit-rental", weight=6, limit_tokens_per_s=40_000),
        counter("glacier-hire", weight=2, limit_tokens_per_s=10_000),
        counter("ridge-sports", weight=2, limit_tokens_per_s=10_000),
        counter("valley-boots", weight=1, limit_tokens_per_s=5_000),
        BACK_OFFICE,
    ),
    models=(FITTER,),
    services=(STOCK, BOOKING, DEPOSIT),
)

if __name__ == "__main__":
    print(CONFIGURATION.to_ini(), end="")
