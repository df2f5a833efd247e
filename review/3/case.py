"""ONE: after all machines lost power while the store failed over to an older copy, the new holder of
the duty reports a window again that the platform has accepted, with other counts.

The store is copied ten times a second. Right after the platform has accepted the report of a window,
all processes are killed and the store goes away for a second; it comes back from a copy that is about
two seconds old. The processes start again 0.7 s after the kill.
"""

import asyncio
import json
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from deployment import call, has_trouble, manifest, run_case  # noqa: E402

COPY_AGE_S = 2.0
AWAY_S = 1.0
RESTART_S = 0.7
# Windows of 5 s that are reported before the drill.
WINDOWS_BEFORE = 2


async def send_calls(deployment, until):
    """Sends ten lookups a second to the nodes in turn."""
    number = 0
    while not until.is_set():
        node = deployment.nodes[number % len(deployment.nodes)]
        number += 1
        try:
            answer = await call(node.callers, "GET", f"/look/{number}", f"look-{number}")
            deployment.record.line(f"caller: look-{number} to {node.name}: {answer.status}")
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            deployment.record.line(f"caller: look-{number} to {node.name}: {error!r}")
        await asyncio.sleep(0.1)


async def keep_copies(store, copies):
    loop = asyncio.get_running_loop()
    while True:
        copies.append((loop.time(), store.copy()))
        await asyncio.sleep(0.1)


async def drill(deployment, copies):
    store, nodes = deployment.store, deployment.nodes
    copy_at = asyncio.get_running_loop().time() - COPY_AGE_S
    older = [copy for taken_at, copy in copies if taken_at <= copy_at]
    deployment.record.line("drill: the store goes away; all processes are killed")
    store.go_away()
    for node in nodes:
        node.signal(signal.SIGKILL)
    for node in nodes:
        node.kill()
    await asyncio.sleep(RESTART_S)
    for node in nodes:
        node.start()
    await asyncio.sleep(AWAY_S - RESTART_S)
    await store.come_back(older[-1])
    await store.put("op", "config", deployment.manifest)
    deployment.record.line(f"drill: the store is back, era {store.era}")


def differing_reports(usage):
    """Returns the windows for which two reports with different counts were accepted."""
    violations = []
    first = {}
    for window, counts, holder, token in usage:
        known = first.setdefault(window, (counts, holder, token))
        if known[0] != counts:
            violations.append(
                f"ONE: window {window} was accepted of {known[1]} (token {known[2]}) with {known[0]}"
                f" and of {holder} (token {token}) with {counts}"
            )
    return violations


async def case(deployment):
    await deployment.start(node_count=3, servers=[("bookings", {})] * 3)
    deployment.manifest = json.dumps(manifest(1)).encode()
    copies, done = [], asyncio.Event()
    keeping = asyncio.create_task(keep_copies(deployment.store, copies))
    calling = asyncio.create_task(send_calls(deployment, done))

    async def reported():
        with_counts = [window for window, counts, *_ in deployment.cloud.usage if counts]
        return len(set(with_counts)) > WINDOWS_BEFORE

    await deployment.wait_until("usage is reported", reported, 40)
    if has_trouble():
        await drill(deployment, copies)
    await asyncio.sleep(20)
    done.set()
    await calling
    keeping.cancel()
    return differing_reports(deployment.cloud.usage)


run_case(FOLDER, case)
