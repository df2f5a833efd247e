"""Stand-ins for back-end servers (runners): plain ones and model engines that stream events."""

import asyncio
import hashlib
import json
import time

from http_io import HttpServer, head_bytes, respond


# Low bits of an event's id, which hold its position in the stream.
POSITION_BITS = 16


def stream_number(target, bits):
    """Returns the number of the stream for a request, the same at all servers."""
    digest = hashlib.sha256(target.encode()).digest()
    return int.from_bytes(digest[:8], "big") >> (64 - bits) if bits else 0


class Server:
    """A server that registers itself, and records each request that it runs.

    A plain server answers with `body_bytes` bytes after `work_s`; a model server (`events` > 0) streams
    so many events, one each `gap_s`. Any server can go on with a stream after the event that
    `Last-Event-Id` names: an id holds the position of the event, and above it, where `id_bits` is set,
    a number of the stream.
    """

    def __init__(self, record, store, name, service, zone, **options):
        self.record, self.store = record, store
        self.name, self.service, self.zone = name, service, zone
        self.version = options.get("version", "v1")
        self.slots = options.get("slots", 6)
        self.work_s = options.get("work_s", 0.015)
        self.body_bytes = options.get("body_bytes", 800)
        self.events = options.get("events", 0)
        self.gap_s = options.get("gap_s", 0.05)
        self.id_bits = options.get("id_bits", 0)
        self.sequence = 0
        self.runs = []
        self.whole = set()
        self.running = 0
        self.born_ms = int(time.time() * 1000)
        self.http = HttpServer(self.handle)
        self.task = None

    async def start(self, ip, port=0):
        await self.http.start(ip, port)
        self.address = "%s:%d" % self.http.address
        self.task = asyncio.create_task(self.register())

    def entry(self, state="ready"):
        self.sequence += 1
        return {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": state, "coldRemainingMs": 0,
            "sequenceNumber": self.sequence, "born": self.born_ms,
        }

    async def register(self):
        while True:
            if not self.store.is_away:
                value = json.dumps(self.entry()).encode()
                await self.store.put("servers", self.name, value)
            await asyncio.sleep(1.2)

    async def handle(self, request, writer):
        attempt = request.headers.get("x-attempt-id", "")
        common = [("x-attempt-id", attempt), ("x-instance-id", self.name), ("born", self.born_ms)]
        if request.headers.get("x-expected-instance", self.name) != self.name:
            await respond(writer, 421, b"", [*common, ("x-not-executed", "1")])
            return True
        if request.path == "/health":
            await respond(writer, 200, b"", common)
            return True
        self.runs.append(attempt)
        self.running += 1
        self.record.line(f"server {self.name}: runs {attempt} {request.method} {request.target}")
        try:
            if self.events:
                await self.stream(request, writer, common)
            else:
                await asyncio.sleep(self.work_s)
                signed = [*common, ("x-response-signature", "s." + attempt)]
                await respond(writer, 200, b"x" * self.body_bytes, signed)
        finally:
            self.running -= 1
        self.whole.add(attempt)
        self.record.line(f"server {self.name}: answered {attempt} whole")
        return True

    async def stream(self, request, writer, common):
        attempt = request.headers.get("x-attempt-id", "")
        base = stream_number(request.target, self.id_bits) << POSITION_BITS
        last = request.headers.get("last-event-id")
        first = 0 if last is None else (int(last) & ((1 << POSITION_BITS) - 1)) + 1
        if last is not None:
            self.record.line(f"server {self.name}: goes on with {attempt} after event {last}")
        signed = [*common, ("x-response-signature", "s." + attempt)]
        writer.write(head_bytes(200, [
            *signed, ("content-type", "text/event-stream"), ("transfer-encoding", "chunked"),
        ]))
        for number in range(first, self.events):
            await asyncio.sleep(self.gap_s)
            event = f"id: {base | number}\ndata: {self.version} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
