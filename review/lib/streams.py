"""A caller's stream over all its attempts."""

import asyncio
import zlib

from deployment import request_bytes
from http_io import read_chunks, read_head


class Stream:
    """A caller's stream over all its attempts."""

    def __init__(self, deployment, name):
        self.deployment, self.name = deployment, name
        self.last_event = None
        self.texts = []
        self.is_whole = False
        self.retry_after_s = 0.25

    async def attempt(self, address, number):
        """Sends an attempt; returns whether the stream began or went on."""
        attempt = f"{self.name}.{number}"
        headers = [("x-model", "m"), ("x-token-usage", "1460,320"),
                   ("x-prompt-prefix", f"5c1e07a2:800,{zlib.crc32(self.name.encode()):08x}:660")]
        if self.last_event is not None:
            headers += [("last-event-id", self.last_event), ("resumes", f"{self.name}.0")]
        before = len(self.texts)
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1)
            writer.write(request_bytes("POST", f"/plan/{self.name}", attempt, b"prompt", headers))
            head = await read_head(reader)
            if head is None:
                self.line(f"{attempt}: closed without an answer")
                return False
            if " 200 " not in head[0]:
                self.retry_after_s = float(head[1].get("retry-after", "0.25"))
                body = await reader.readexactly(int(head[1].get("content-length", "0")))
                self.line(f"{attempt}: {head[0]} ({body.decode()})")
                return False
            await self.read_events(reader)
            self.is_whole = True
            self.line(f"{attempt}: whole, last event {self.last_event}")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.line(f"{attempt}: broken off after event {self.last_event}: {error!r}")
        return len(self.texts) > before

    async def read_events(self, reader):
        pending = b""
        async for chunk in read_chunks(reader):
            pending += chunk
            while b"\n\n" in pending:
                event, pending = pending.split(b"\n\n", 1)
                number, text = event.decode().split("\n")
                self.last_event = int(number.removeprefix("id: "))
                self.texts.append(text)

    def line(self, text):
        self.deployment.record.line(f"caller {text}")
