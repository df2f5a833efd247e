"""Stand-in for the platform: its store and its API for duties."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, unquote

from http_io import HttpServer, respond


class Store:
    """Rows with versions, feeds of changes and conditional transactions.

    `come_back` replaces the rows by a copy that was taken before, as in the drill of the pages: what
    was written since is lost, versions go back, and `Store-Era` rises by one.
    """

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.changes = []
        self.version = 0
        self.era = 0
        self.is_away = False
        self.changed = asyncio.Condition()
        self.started = time.monotonic()
        self.http = HttpServer(self.handle)

    async def start(self, ip):
        await self.http.start(ip)
        self.address = "%s:%d" % self.http.address

    async def put(self, table, key, value):
        """Writes a row as the operator and the servers do; None removes it."""
        self.set(table, key, value if value is None else base64.b64encode(value).decode())
        await self.notify()

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def set(self, table, key, value):
        self.version += 1
        self.changes.append((self.version, table, key, value))
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[(table, key)] = (value, self.version)

    def copy(self):
        return dict(self.rows), list(self.changes), self.version

    async def come_back(self, copy):
        rows, changes, version = copy
        self.rows, self.changes, self.version = dict(rows), list(changes), version
        self.era += 1
        self.is_away = False
        await self.notify()

    def go_away(self):
        """Closes all channels; calls get 503 until the store is back."""
        self.is_away = True
        for writer in list(self.http.connections):
            writer.transport.abort()

    async def handle(self, request, writer):
        if self.is_away:
            await respond(writer, 503, b"{}", [("store-era", self.era)])
            return True
        era = self.era
        query = {name: values[0] for name, values in parse_qs(request.query, True).items()}
        status, body = await self.answer(request, query)
        if era != self.era:
            return False
        if request.path == "/-/rows-tx":
            # The transaction latency of the deployment.
            await asyncio.sleep(0.006)
        await respond(writer, status, json.dumps(body).encode(), [("store-era", era)])
        return True

    async def answer(self, request, query):
        if request.path == "/-/rows-get":
            return 200, self.body(self.select(query))
        if request.path == "/-/rows-feed":
            return await self.feed(query)
        if request.path == "/-/rows-tx":
            status, rows = self.transact(json.loads(request.body))
            if status == 200:
                await self.notify()
            return status, self.body(rows)
        return 404, {}

    def body(self, rows):
        now_ms = int((time.monotonic() - self.started) * 1000)
        return {"rows": rows, "hasMore": False, "rowVersion": self.version, "currentTimeMs": now_ms}

    @staticmethod
    def document(table, key, value, version):
        row = {"tableName": table, "part": "", "key": key, "rowVersion": version}
        return {**row, "deleted": True} if value is None else {**row, "value": value}

    def select(self, query):
        table, source = query["tableName"], unquote(query.get("source", ""))
        to = unquote(query["to"]) if "to" in query else None
        found = []
        for (name, key), (value, version) in sorted(self.rows.items()):
            if name == table and key >= source and (to is None or key < to):
                found.append(self.document(name, key, value, version))
        return found

    async def feed(self, query):
        table, after = query["tableName"], int(query["afterRevision"])
        if after > self.version:
            return 410, {}
        end = asyncio.get_running_loop().time() + int(query.get("waitMs", 0)) / 1000
        while True:
            newest = {}
            for version, name, key, value in self.changes:
                if name == table and version > after:
                    newest[key] = self.document(name, key, value, version)
            left = end - asyncio.get_running_loop().time()
            if newest or left <= 0:
                rows = sorted(newest.values(), key=lambda row: row["rowVersion"])
                return 200, self.body(rows)
            era = self.era
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                continue
            if era != self.era:
                return 410, {}

    def transact(self, call):
        def key(row):
            return row["tableName"], row["key"]

        conditions = call.get("precondition", [])
        if any(self.rows.get(key(row), ("", 0))[1] != row["rowVersion"] for row in conditions):
            found = [key(row) for row in conditions if key(row) in self.rows]
            return 412, [self.document(*place, *self.rows[place]) for place in found]
        for row in call.get("write", []):
            if row["tableName"] in ("op", "servers"):
                return 403, []
        for row in call.get("write", []):
            self.set(*key(row), row["value"])
            if row["tableName"] == "duty":
                text = base64.b64decode(row["value"]).decode()
                self.record.line(f"store: row duty/{row['key']} written: {text}")
        for row in call.get("remove", []):
            self.set(*key(row), None)
        return 200, []


class Cloud:
    """Accepts usage reports and orders, with fencing by duty and subject."""

    def __init__(self, record):
        self.record = record
        self.usage = []
        self.greatest = {}
        self.http = HttpServer(self.handle)

    async def start(self, ip):
        await self.http.start(ip)
        self.address = "%s:%d" % self.http.address

    async def handle(self, request, writer):
        holder = request.headers.get("x-duty-holder", "")
        token = int(request.headers.get("x-fencing-token", "0"))
        body = json.loads(request.body)
        subject = (request.path, body.get("service"), body.get("zone"))
        if token < self.greatest.get(subject, 0):
            self.record.line(f"cloud: {request.path} of {holder}, token {token}: 409")
            await respond(writer, 409, b"{}")
            return True
        self.greatest[subject] = token
        if request.path == "/usage":
            self.usage.append((body["windowNumber"], body["counts"], holder, token))
            self.record.line(f"cloud: usage accepted of {holder}, token {token}: {json.dumps(body)}")
        await respond(writer, 200, b"{}")
        return True
