"""LOST: a planned restart of the three nodes, one each second, loses the streams that outlast the
grace period of their node: no node takes them up again.

The streams run at the first node that gets SIGTERM. It ends them at the end of its grace period. By
then the two other nodes have been restarted; callers take the streams up at one that is in touch again.
"""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from deployment import BOUNDS, CannotRun, has_trouble, route, run_case  # noqa: E402
from streams import Stream  # noqa: E402

STREAMS = 16
NEW_STREAMS = 16
EVENTS = 80
GAP_S = 0.15
SETTLE_S = 6
TERM_AFTER_S = 1.5
# Time between two machines of the restart.
ROLL_GAP_S = 1.0
# Pause of a caller after its channel broke.
PAUSE_S = 0.8
TAKE_UPS = 3
STREAMS_MIN = 12


def routes():
    split = [{"service": "models", "weight": 90}, {"service": "models-next", "weight": 10}]
    plan = route("plan", "streaming", "models", maxAttempts=2, streamResumption=True, gapAimMs=400,
                 sessionAffinity=True, trafficSplit=split)
    del plan["service"]
    return [plan, route("look", "idempotent", "bookings", maxAttempts=2)]


async def restart(node, loop):
    """Sends SIGTERM, kills the process after the grace period, and starts it again."""
    node.signal(signal.SIGTERM)
    end = loop.time() + BOUNDS["gracePeriodS"]
    while node.process.poll() is None and loop.time() < end:
        await asyncio.sleep(0.02)
    node.kill()
    await asyncio.sleep(0.3)
    node.start()
    return loop.time()


async def take_up(stream, address):
    for number in range(1, 1 + TAKE_UPS):
        if await stream.attempt(address, number):
            return True
        await asyncio.sleep(stream.retry_after_s)
    return False


async def case(deployment):
    loop = asyncio.get_running_loop()
    options = {"events": EVENTS, "gap_s": GAP_S, "slots": 64}
    servers = [("models", options)] * 3 + [("models-next", options)] * 3 + [("bookings", {})]
    await deployment.start(node_count=3, servers=servers, routes=routes())
    await asyncio.sleep(SETTLE_S)
    first, second, third = deployment.nodes
    streams = [Stream(deployment, f"plan-{index}") for index in range(STREAMS)]
    tasks = [asyncio.create_task(stream.attempt(first.callers, 0)) for stream in streams]
    await asyncio.sleep(TERM_AFTER_S)
    restarts = []
    if has_trouble():
        for node in (first, second, third):
            restarts.append(asyncio.create_task(restart(node, loop)))
            await asyncio.sleep(ROLL_GAP_S)
    await asyncio.gather(*tasks)
    await asyncio.sleep(PAUSE_S)
    new = [Stream(deployment, f"new-{index}") for index in range(NEW_STREAMS)]
    new_tasks = [asyncio.create_task(stream.attempt(second.callers, 0)) for stream in new]
    broken = [
        stream for stream in streams if not stream.is_whole and stream.last_event is not None
    ]
    if restarts:
        started_at = await restarts[1]
        since = loop.time() - started_at
        deployment.record.line(f"node {second.name}: started {since:.1f} s before the take-ups")
        if since < BOUNDS["contactMs"] / 1000:
            raise CannotRun("the restarted node is not in touch yet")
    went_on = await asyncio.gather(*(take_up(stream, second.callers) for stream in broken))
    new_begun = await asyncio.gather(*new_tasks)
    await asyncio.gather(*restarts)
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
