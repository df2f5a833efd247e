"""LOST: after all machines but one lost their processes at the same moment, the one that ran on
refuses most streams that callers take up again, although nothing else is amiss.

Twelve nodes in three zones serve a route whose streams may be resumed and whose traffic is split
between two services, as operators may write it. Each of eleven nodes holds four streams when it is
killed. Their callers take the streams up at the node that is left, while others begin new streams
there.
"""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from deployment import has_trouble, route, run_case  # noqa: E402
from streams import Stream  # noqa: E402

NODES = 12
STREAMS_PER_NODE = 4
NEW_STREAMS = 20
EVENTS = 50
GAP_S = 0.15
SETTLE_S = 6
KILL_AFTER_S = 2
# Tries of a caller to take a stream up, each after the time that `Retry-After` states.
TAKE_UPS = 3
STREAMS_MIN = 12


def routes():
    split = [{"service": "models", "weight": 90}, {"service": "models-next", "weight": 10}]
    plan = route("plan", "streaming", "models", maxAttempts=2, streamResumption=True, gapAimMs=400,
                 sessionAffinity=True, trafficSplit=split)
    del plan["service"]
    return [plan, route("look", "idempotent", "bookings", maxAttempts=2)]


async def take_up(stream, address):
    for number in range(1, 1 + TAKE_UPS):
        if await stream.attempt(address, number):
            return True
        await asyncio.sleep(stream.retry_after_s)
    return False


async def case(deployment):
    options = {"events": EVENTS, "gap_s": GAP_S, "slots": 64}
    servers = [("models", options)] * 3 + [("models-next", options)] * 3 + [("bookings", {})]
    await deployment.start(node_count=NODES, servers=servers, routes=routes())
    await asyncio.sleep(SETTLE_S)
    survivor, others = deployment.nodes[0], deployment.nodes[1:]
    begun = [
        (Stream(deployment, f"{node.name}-{index}"), node)
        for node in others
        for index in range(STREAMS_PER_NODE)
    ]
    tasks = [asyncio.create_task(stream.attempt(node.callers, 0)) for stream, node in begun]
    await asyncio.sleep(KILL_AFTER_S)
    if has_trouble():
        for node in others:
            node.signal(signal.SIGKILL)
        for node in others:
            node.kill()
    await asyncio.sleep(0.2)
    new = [Stream(deployment, f"new-{index}") for index in range(NEW_STREAMS)]
    new_tasks = [asyncio.create_task(stream.attempt(survivor.callers, 0)) for stream in new]
    await asyncio.gather(*tasks)
    broken = [
        stream for stream, _ in begun if not stream.is_whole and stream.last_event is not None
    ]
    went_on = await asyncio.gather(*(take_up(stream, survivor.callers) for stream in broken))
    new_begun = await asyncio.gather(*new_tasks)
    deployment.record.line(
        f"{sum(went_on)} of {len(broken)} streams went on, {sum(new_begun)} of {len(new)} began"
    )
    if len(broken) < STREAMS_MIN or 2 * sum(went_on) * len(new) >= sum(new_begun) * len(broken):
        return []
    return [
        f"LOST: {sum(went_on)} of {len(broken)} streams that callers took up again went on, while"
        f" {sum(new_begun)} of {len(new)} new ones began"
    ]


run_case(FOLDER, case)
