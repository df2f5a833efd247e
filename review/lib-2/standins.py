"""Stand-ins of the users' platform for the review scripts: store, duties API, servers, requester.

They follow PROTOCOL.md and its news pages. Everything listens on loopback addresses only, and every
process that is started is ended by `Cluster.stop`.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
NODE = ROOT / "target/release/filbertlead"
BOUNDS = {
    "seedLagS": 3, "addressReuseS": 2, "contactMs": 3000, "acknowledgeMs": 4000, "catchUpS": 4,
    "drainTimeoutMs": 2000, "gracePeriodS": 8, "lossSlackMs": 200, "configPropagationMs": 2000,
    "rollbackSlackMs": 250, "outerBoundMs": 5000, "failClosed": True, "revocationMs": 5000,
    "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 52, "quotaWindowS": 8,
    "quotaOvershoot": 0.1, "quotaSlack": 140000, "fencingEnforced": True, "leaseDurationMs": 3000,
    "thawSlackMs": 300, "reportWindowS": 5, "usageOff": 0.05, "usageDelayS": 10, "recoveryS": 12,
    "deliverySlackMs": 120, "reuseWindowS": 9.3,
}
LIMITS = {
    "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
}
ZONES = ["mu-east-a", "mu-east-b", "mu-east-c"]
HEARTBEAT_S = 1.2


class CannotRun(Exception):
    """The case could not run; the script exits with 2."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w")
        self.start = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.start:8.3f} s  {text}"
        print(line, file=self.file, flush=True)
        print(line, flush=True)


async def read_head(reader):
    """Returns the first line and the headers (names in lower case), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader, on_data):
    """Reads a body in chunks to its end."""
    while True:
        size = int((await reader.readline()).split(b";")[0].strip() or b"x", 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        on_data(data[:-2])


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        await read_chunks(reader, parts.append)
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", 0)))


def response(status, headers, body):
    lines = [f"HTTP/1.1 {status}"] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's metadata store: rows, a feed of changes, conditions, and its era."""

    def __init__(self):
        self.rows = {}
        self.removed = {}
        self.version = 0
        self.era = 1
        self.away = False
        self.changed = asyncio.Event()
        self.writers = set()
        self.copies = []
        self.started = time.monotonic()

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def put(self, table, key, value):
        if self.away:
            return False
        self.version += 1
        text = value if isinstance(value, str) else json.dumps(value)
        self.rows[table, key] = (base64.b64encode(text.encode()).decode(), self.version)
        self.removed.pop((table, key), None)
        self.wake()
        return True

    def remove(self, table, key):
        if not self.away and (table, key) in self.rows:
            self.version += 1
            del self.rows[table, key]
            self.removed[table, key] = self.version
            self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self):
        return dict(self.rows), dict(self.removed), self.version

    def go_away(self):
        """From now on the store answers nothing and its channels are reset."""
        self.away = True
        for writer in list(self.writers):
            writer.transport.abort()

    def come_back(self, copy=None):
        """The store is back, from an older copy if one is given; then its era rises by one."""
        if copy:
            rows, removed, version = copy
            self.rows, self.removed, self.version = dict(rows), dict(removed), version
            self.era += 1
        self.away = False
        self.wake()

    async def serve(self, reader, writer):
        if self.away:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                url = urlsplit(target)
                query = {name: values[-1] for name, values in
                         parse_qs(url.query, keep_blank_values=True).items()}
                status, document = await self.answer(method, url.path, query, body)
                if self.away:
                    writer.transport.abort()
                    return
                document.update(rowVersion=document.get("rowVersion", self.version),
                                currentTimeMs=int((time.monotonic() - self.started) * 1000))
                headers = {"Content-Type": "application/json", "Store-Era": self.era}
                writer.write(response(status, headers, json.dumps(document).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, path, query, body):
        await asyncio.sleep(0.004)
        if path == "/-/rows-get":
            keys = sorted(key for table, key in self.rows if table == query["tableName"])
            first, last = query.get("source", ""), query.get("to")
            keys = [key for key in keys if key >= first and (last is None or key < last)]
            limit = min(int(query.get("resultLimit", 500)), 500)
            rows = [self.row(query["tableName"], key) for key in keys[:limit]]
            return "200 OK", {"rows": rows, "hasMore": len(keys) > limit}
        if path == "/-/rows-feed":
            return await self.feed(query["tableName"], int(query["afterRevision"]),
                                   int(query.get("waitMs", 0)) / 1000)
        if path == "/-/rows-tx":
            return self.transact(json.loads(body))
        return "404 Not Found", {}

    def row(self, table, key):
        value, version = self.rows[table, key]
        return {"tableName": table, "part": "", "key": key, "value": value, "rowVersion": version}

    async def feed(self, table, after, wait_s):
        end = time.monotonic() + wait_s
        if after > self.version:
            return "410 Gone", {}
        while True:
            rows = [self.row(known, key) for (known, key), (_, version) in self.rows.items()
                    if known == table and version > after]
            rows += [{"tableName": table, "part": "", "key": key, "rowVersion": version,
                      "deleted": True}
                     for (known, key), version in self.removed.items()
                     if known == table and version > after]
            rows.sort(key=lambda row: row["rowVersion"])
            left = end - time.monotonic()
            if rows or left <= 0 or self.away:
                return "200 OK", {"rows": rows}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, document):
        failed = []
        for entry in document["precondition"]:
            known = self.rows.get((entry["tableName"], entry["key"]))
            if (known[1] if known else 0) != entry["rowVersion"]:
                failed.append(entry)
        if failed:
            rows = [self.row(entry["tableName"], entry["key"]) for entry in document["precondition"]
                    if (entry["tableName"], entry["key"]) in self.rows]
            return "412 Precondition Failed", {"rows": rows}
        self.version += 1
        for entry in document["write"]:
            self.rows[entry["tableName"], entry["key"]] = (entry["value"], self.version)
        for entry in document["remove"]:
            self.rows.pop((entry["tableName"], entry["key"]), None)
            self.removed[entry["tableName"], entry["key"]] = self.version
        self.wake()
        return "200 OK", {}


class Cloud:
    """The API of the duties; refuses fencing tokens lower than one it has seen for a subject."""

    def __init__(self):
        self.calls = []
        self.fences = {}

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                body = json.loads(await read_body(reader, head[1]) or b"{}")
                path = head[0].split(" ")[1]
                token, holder = int(head[1]["x-fencing-token"]), head[1]["x-duty-holder"]
                subject = (path, body.get("service"), body.get("zone"))
                fenced = token < self.fences.get(subject, 0)
                self.fences[subject] = max(token, self.fences.get(subject, 0))
                self.calls.append((time.monotonic(), path, holder, token, body, not fenced))
                writer.write(response("409 Conflict" if fenced else "200 OK", {}, b"{}"))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Server:
    """A runner. `handle(server, head, headers, reader, writer)` answers one request; it returns
    whether the channel is kept."""

    def __init__(self, cluster, name, service, zone, handle, version="v1", slots=64,
                 window_bytes=None):
        self.cluster, self.name, self.service, self.zone = cluster, name, service, zone
        self.handle, self.version, self.slots = handle, version, slots
        self.window_bytes = window_bytes
        self.state = "ready"
        self.writers = set()
        self.address = ""

    async def start(self):
        """Starts the runner; one that was started before has its identifier and address again."""
        self.born = int(time.time() * 1000)
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.window_bytes:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.window_bytes)
            listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
        ip, _, port = self.address.partition(":")
        listener.bind((ip or self.cluster.next_ip(), int(port or 0)))
        self.server = await asyncio.start_server(self.serve, sock=listener)
        self.address = "%s:%d" % listener.getsockname()[:2]
        self.beats = asyncio.create_task(self.beat())

    def crash(self):
        """Ends the runner; its channels are reset, and it says nothing more."""
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def beat(self):
        number = 0
        while True:
            number += 1
            self.cluster.store.put("servers", self.name, {
                "service": self.service, "address": self.address, "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": self.state,
                "coldRemainingMs": 0, "sequenceNumber": number, "born": self.born,
            })
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                expected = head[1].get("x-expected-instance", self.name)
                if expected != self.name:
                    await read_body(reader, head[1])
                    writer.write(response("421 Misdirected Request", {
                        "X-Instance-Id": self.name,
                        "X-Attempt-Id": head[1].get("x-attempt-id", "")}, b""))
                elif not await self.handle(self, head[0], head[1], reader, writer):
                    return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def signature(self, headers):
        return f"{self.name}.{headers.get('x-attempt-id', '')}"


class Node:
    """A node as a process of its own, started as the deploy file says."""

    def __init__(self, cluster, index):
        self.cluster, self.index = cluster, index
        self.zone = ZONES[index % 3]
        self.name = f"frontend-{self.zone}-{index // 3 + 1}"
        self.ip = cluster.next_ip()
        self.process = None

    def settings(self, bootstrap):
        cluster = self.cluster
        return {
            "nodeName": self.name, "role": "node", "machineClass": "frontend", "serves": ["frontend"],
            "ipAddress": self.ip, "zone": self.zone, "region": "mu-east",
            "zones": {zone: "mu-east" for zone in ZONES},
            "listenAddresses": {"frontend": f"{self.ip}:8360", "readiness": f"{self.ip}:8365"},
            "internalPortRange": [7500, 7515], "seedNodes": [], "bootstrap": bootstrap,
            "faultCounted": False,
            "limits": {"cpuFraction": 0.25, "cpuCores": 1, "memoryMb": 260, "fileDescriptors": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDirectory": None, "discovery": "platform", "entryKind": "virtual_ip",
            "heartbeatIntervalMs": int(HEARTBEAT_S * 1000),
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                          "tenants", "quota", "leader", "platform"],
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS,
            "platform": {"address": cluster.store.address, "form": "table", "writesPerS": 400,
                         "readsPerS": 2000, "txLatencyMs": 6.0, "partitionWritesS": 200,
                         "maxRowBytes": 65536, "crossPartition": False, "historyS": 20,
                         "maxBlobBytes": 8388608, "blobLatencyMs": 25.0, "blobMbS": 80.0},
            "cloudApi": {"address": cluster.cloud.address, "ratePerS": 50.0,
                         "duties": ["usage_reporting"], "dutyPerS": 50.0},
        }

    async def start(self, bootstrap=True):
        path = self.cluster.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings(bootstrap)))
        self.log = open(self.cluster.folder / f"{self.name}.log", "ab")
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            str(NODE), "--platform", cwd=ROOT, env={**kept, "FILBERTLEAD_BOOT": str(path)},
            stdout=self.log, stderr=self.log)

    def log_text(self):
        return (self.cluster.folder / f"{self.name}.log").read_text(errors="replace")

    async def kill(self, how=signal.SIGKILL):
        if self.process and self.process.returncode is None:
            self.process.send_signal(how)
            await self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, 8365)
        except OSError:
            return False
        writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: readiness\r\n\r\n")
        head = await read_head(reader)
        writer.close()
        return head is not None and " 200" in head[0]


class Cluster:
    def __init__(self):
        base = random.Random(os.getpid())
        self.net = f"127.{base.randrange(32, 250)}.{base.randrange(1, 250)}"
        self.used = 0
        self.store, self.cloud = Store(), Cloud()
        self.nodes, self.servers = [], []
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))

    def next_ip(self):
        self.used += 1
        return f"{self.net}.{self.used}"

    async def start(self, manifest, servers, nodes):
        if not NODE.exists():
            raise CannotRun(f"{NODE} is not built")
        await self.store.start(self.next_ip())
        await self.cloud.start(self.next_ip())
        self.store.put("op", "config", manifest)
        for make in servers:
            server = make(self)
            self.servers.append(server)
            await server.start()
        for index in range(nodes):
            node = Node(self, index)
            self.nodes.append(node)
            await node.start()
        for node in self.nodes:
            await self.until_ready(node)

    async def until_ready(self, node, limit_s=15):
        end = time.monotonic() + limit_s
        while not await node.is_ready():
            if time.monotonic() > end:
                raise CannotRun(f"{node.name} is not ready in {limit_s} s")
            await asyncio.sleep(0.05)

    async def stop(self):
        for node in self.nodes:
            await node.kill()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("kept", self.folder)


def attempt_id():
    return f"{random.getrandbits(64):016x}"


def request_bytes(method, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.whole, self.error = None, {}, b"", False, ""
        self.took_s = 0.0


async def call(node, data, limit_s):
    """Sends one request on a new channel and reads its answer for at most `limit_s`."""
    answer, began = Answer(), time.monotonic()

    async def exchange():
        reader, writer = await asyncio.open_connection(node.ip, 8360, limit=1 << 20)
        try:
            writer.write(data)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                answer.error = "the channel ended without an answer"
                return
            answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
            if head[1].get("transfer-encoding", "").lower() == "chunked":
                def add(part):
                    answer.body += part
                await read_chunks(reader, add)
            else:
                answer.body = await reader.readexactly(int(head[1].get("content-length", 0)))
            answer.whole = True
        finally:
            writer.transport.abort()

    try:
        await asyncio.wait_for(exchange(), limit_s)
    except asyncio.TimeoutError:
        answer.error = "no whole answer in time"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        answer.error = f"the answer broke off: {error!r}"
    answer.took_s = time.monotonic() - began
    return answer


def run_case(folder, body, limit_s=115):
    """Runs the case; `body(cluster, record, trouble)` returns what broke the rule, as a list."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def whole():
        cluster = Cluster()
        try:
            return await asyncio.wait_for(body(cluster, record, trouble), limit_s)
        finally:
            await cluster.stop()

    try:
        broken = asyncio.run(whole())
    except Exception as error:  # also a fault of the script itself must not look like a broken rule
        record(f"could not run: {error!r}")
        sys.exit(2)
    for line in broken:
        record(f"BROKEN: {line}")
    record("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
