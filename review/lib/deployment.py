"""A small deployment on loopback addresses: the platform's stand-ins, servers and nodes as processes."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

from http_io import read_body, read_head
from platform_standin import Cloud, Store
from record import Record
from servers import Server

ROOT = Path(__file__).resolve().parents[2]
KEY = "key-of-desk"
HOST = "desk.example"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

# The bounds of the Piton Frost deployment, as `SYSTEM.md` states them.
BOUNDS = {
    "seedLagS": 3, "addressReuseS": 2, "contactMs": 3000, "acknowledgeMs": 4000, "catchUpS": 4,
    "drainTimeoutMs": 2000, "gracePeriodS": 8, "lossSlackMs": 200, "configPropagationMs": 2000,
    "rollbackSlackMs": 250, "outerBoundMs": 5000, "failClosed": True, "revocationMs": 5000,
    "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 52, "quotaWindowS": 8,
    "quotaOvershoot": 0.1, "quotaSlack": 140000, "fencingEnforced": True, "leaseDurationMs": 3000,
    "thawSlackMs": 300, "reportWindowS": 5, "usageOff": 0.05, "usageDelayS": 10, "recoveryS": 12,
    "deliverySlackMs": 120, "reuseWindowS": 9.3,
}


class CannotRun(Exception):
    """The deployment did not come up, so the case says nothing."""


def loopback_ip():
    return f"127.{random.randint(16, 250)}.{random.randint(0, 250)}.{random.randint(1, 250)}"


def node_command():
    """Returns the command of the deploy file's only role."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    (role,) = deploy["roles"].values()
    words = role["run"].split()
    return [str(ROOT / words[0]), *words[1:]]


class Node:
    """A node as a process of its own."""

    def __init__(self, deployment, index):
        self.deployment = deployment
        self.zone = f"zone-{'abc'[index % 3]}"
        self.name = f"frontend-{self.zone}-{index // 3 + 1}"
        self.ip = loopback_ip()
        self.callers = (self.ip, 8360)
        self.settings = deployment.folder / f"{self.name}.json"
        self.process = None
        self.starts = 0

    def document(self):
        zones = {f"zone-{letter}": "region" for letter in "abc"}
        store, cloud = self.deployment.store.address, self.deployment.cloud.address
        return {
            "nodeName": self.name, "role": "node", "machineClass": "frontend",
            "serves": ["frontend"], "ipAddress": self.ip, "zone": self.zone, "region": "region",
            "zones": zones,
            "listenAddresses": {
                "frontend": f"{self.ip}:8360", "readiness": f"{self.ip}:8365",
                "controlPlane": f"{self.ip}:8367",
            },
            "internalPortRange": [7500, 7515], "seedNodes": [],
            # True only when the whole system starts for the first time.
            "bootstrap": self.starts == 0,
            "faultCounted": False,
            "limits": {
                "cpuFraction": 0.25, "cpuCores": 1, "memoryMb": 260, "fileDescriptors": 4100,
                "linkMbps": 1000.0, "diskMb": 0,
            },
            "dataDirectory": None, "discovery": "platform", "entryKind": "virtual_ip",
            "heartbeatIntervalMs": 1200,
            "contracts": [
                "base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                "quota", "leader", "platform",
            ],
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": store, "form": "table", "writesPerS": 400, "readsPerS": 2000,
                "txLatencyMs": 6.0, "partitionWritesS": 200, "maxRowBytes": 65536,
                "crossPartition": False, "historyS": 20, "maxBlobBytes": 8388608,
                "blobLatencyMs": 25.0, "blobMbS": 80.0,
            },
            "cloudApi": {
                "address": cloud, "ratePerS": 50.0, "duties": ["usage_reporting"], "dutyPerS": 50.0,
            },
        }

    def start(self):
        self.settings.write_text(json.dumps(self.document()))
        log = open(self.deployment.folder / f"{self.name}.{self.starts}.log", "wb")
        self.starts += 1
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["FILBERTLEAD_BOOT"] = str(self.settings)
        self.process = subprocess.Popen(
            node_command(), cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log,
            stderr=subprocess.STDOUT,
        )
        self.deployment.record.line(f"node {self.name}: started as process {self.process.pid}")

    def signal(self, number):
        self.deployment.record.line(f"node {self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        """Kills the process, as SIGKILL of the platform does, and waits for its end."""
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            status = (await call((self.ip, 8365), "GET", "/-/readiness", "readiness")).status
            return status == 200
        except (OSError, asyncio.TimeoutError, EOFError):
            return False


class Deployment:
    """Starts and stops everything."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="fl-review-"))
        self.store = Store(self.record)
        self.cloud = Cloud(self.record)
        self.servers = []
        self.nodes = []

    async def start(self, node_count=3, servers=(), routes=None):
        """Starts servers, given as services with options, then the nodes."""
        await self.store.start(loopback_ip())
        await self.cloud.start(loopback_ip())
        for index, (service, options) in enumerate(servers):
            zone = f"zone-{'abc'[index % 3]}"
            server = Server(self.record, self.store, f"s-{index}", service, zone, **options)
            await server.start(loopback_ip())
            self.servers.append(server)
        await self.store.put("op", "config", json.dumps(manifest(1, routes)).encode())
        self.nodes = [Node(self, index) for index in range(node_count)]
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await self.wait_until(f"{node.name} is ready", node.is_ready, 20)

    async def wait_until(self, what, condition, limit_s):
        """Polls an asynchronous condition."""
        loop = asyncio.get_running_loop()
        end = loop.time() + limit_s
        while not await condition():
            if loop.time() > end:
                raise CannotRun(f"timed out waiting until {what}")
            await asyncio.sleep(0.05)

    def stop(self):
        for node in self.nodes:
            node.kill()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, kind, service, **options):
    """A route of the manifest; `options` replace the usual fields."""
    return {
        "name": name, "host": HOST, "prefix": f"/{name}/", "routeKind": kind, "timeoutMs": 15000,
        "targetLatencyMs": 800, "priority": 1, "service": service, "maxAttempts": 1,
        "anonymous": False, "sessionAffinity": False, "streamResumption": False, **options,
    }


def usual_routes():
    return [
        route("look", "idempotent", "bookings", maxAttempts=2),
        route("book", "non_idempotent", "bookings"),
        route("plan", "streaming", "models", maxAttempts=2, streamResumption=True, gapAimMs=400,
              sessionAffinity=True),
    ]


def manifest(version, routes=None):
    return {
        "version": version, "routes": routes or usual_routes(),
        "services": [
            {"name": "bookings", "connectionLimit": 96}, {"name": "models", "connectionLimit": 360},
            {"name": "models-next", "connectionLimit": 360},
        ],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 2000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{
            "name": "desk", "apiKeys": [KEY], "ratePerS": 0, "burstSize": 0, "priority": 1,
            "unit": "token_metering", "uncachedTokens": 200,
        }],
    }


class Answer:
    def __init__(self, status, headers, body, is_whole):
        self.status, self.headers, self.body, self.is_whole = status, headers, body, is_whole


def request_bytes(method, path, attempt, body=b"", headers=(), deadline_ms=15000):
    fields = [
        ("host", HOST), ("x-attempt-id", attempt), ("x-deadline-ms", deadline_ms), ("api-key", KEY),
        *headers, ("content-length", len(body)),
    ]
    lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(address, method, path, attempt, body=b"", headers=(), limit_s=20):
    """Sends one request on a new connection and reads the answer; raises EOFError if there is none."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1)
    try:
        writer.write(request_bytes(method, path, attempt, body, headers))
        return await asyncio.wait_for(read_answer(reader), limit_s)
    finally:
        writer.close()


async def read_answer(reader):
    head = await read_head(reader)
    if head is None:
        raise EOFError("the channel was closed without an answer")
    status = int(head[0].split(" ")[1])
    try:
        return Answer(status, head[1], await read_body(reader, head[1]), True)
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(status, head[1], b"", False)


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, case):
    """Runs a case within two minutes and exits with its outcome. `case(deployment)` returns the rule
    violations that were seen."""

    async def run():
        deployment = Deployment(folder)
        try:
            violations = await asyncio.wait_for(case(deployment), 110)
            for violation in violations:
                deployment.record.line(f"VIOLATION {violation}")
                print(violation)
            if not violations:
                deployment.record.line("the rule held")
            return BROKEN if violations else HELD
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            deployment.record.line(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            return COULD_NOT_RUN
        finally:
            deployment.stop()

    sys.exit(asyncio.run(run()))
