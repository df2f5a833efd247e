"""ORDER: callers that take streams up again after one node was killed get pieces twice, or never.

The servers number their events with 56 bits: 40 bits for the stream and 16 for the position of the event.
Any of them can go on after the event that `Last-Event-Id` names. The callers repeat the id that they got.
"""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from deployment import has_trouble, route, run_case  # noqa: E402
from streams import Stream  # noqa: E402

STREAMS = 16
EVENTS = 60
GAP_S = 0.1
STREAM_BITS = 40
SETTLE_S = 4
KILL_AFTER_S = 2.0
ATTEMPTS = 3


async def follow(stream, nodes):
    """Reads a stream to its end, over several attempts if need be."""
    for number in range(ATTEMPTS):
        await stream.attempt(nodes[number % len(nodes)].callers, number)
        if stream.is_whole:
            return
        await asyncio.sleep(stream.retry_after_s)


async def case(deployment):
    options = {"events": EVENTS, "gap_s": GAP_S, "slots": 64, "id_bits": STREAM_BITS}
    plan = route("plan", "streaming", "models", maxAttempts=2, streamResumption=True, gapAimMs=400,
                 sessionAffinity=True)
    await deployment.start(node_count=3, servers=[("models", options)] * 3, routes=[plan])
    await asyncio.sleep(SETTLE_S)
    streams = [Stream(deployment, f"plan-{index}") for index in range(STREAMS)]
    tasks = [asyncio.create_task(follow(stream, deployment.nodes)) for stream in streams]
    await asyncio.sleep(KILL_AFTER_S)
    if has_trouble():
        deployment.nodes[0].signal(signal.SIGKILL)
    await asyncio.gather(*tasks)
    violations = []
    for stream in streams:
        pieces = [int(text.split(" ")[2]) for text in stream.texts]
        twice = sorted({piece for piece in pieces if pieces.count(piece) > 1})
        # Only of a stream that was ended as complete is a piece missing.
        missing = sorted(set(range(EVENTS)) - set(pieces)) if stream.is_whole else []
        if twice or missing:
            violations.append(f"ORDER: {stream.name}: pieces twice {twice}, missing {missing}")
    return violations


run_case(FOLDER, case)
