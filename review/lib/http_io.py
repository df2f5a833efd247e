"""Minimal HTTP/1.1 over asyncio streams, for the stand-ins and the callers of the review."""

import asyncio
import socket


class Request:
    """A request whose body was read whole."""

    def __init__(self, method, target, headers, body, peer):
        self.method = method
        self.target = target
        self.path, _, self.query = target.partition("?")
        self.headers = headers
        self.body = body
        self.peer = peer


async def read_head(reader):
    """Reads a start line and the headers; None if the connection ends before."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Yields the chunks of a chunked body; raises IncompleteReadError if it breaks off."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, headers):
    """Reads a body that has a length or chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", "0")))


def head_bytes(status, headers):
    """Builds the head of a response."""
    lines = [f"HTTP/1.1 {status} x"] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class HttpServer:
    """Serves requests on kept connections. `handle(request, writer)` writes the whole response; it
    returns False to close the connection."""

    def __init__(self, handle):
        self.handle = handle
        self.connections = set()
        self.server = None
        self.address = None

    async def start(self, ip, port=0):
        # A listener that comes back at its address after a crash must not wait for TIME_WAIT.
        self.server = await asyncio.start_server(
            self.serve, ip, port, reuse_address=True, limit=1 << 20
        )
        self.address = self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        self.connections.add(writer)
        peer = writer.get_extra_info("peername")
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                request = Request(method, target, head[1], body, peer)
                if await self.handle(request, writer) is False:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def stop(self, reset=True):
        """Stops listening and breaks all connections, as a killed process does."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            if reset:
                writer.transport.abort()
            else:
                writer.close()


async def respond(writer, status, body=b"", headers=()):
    """Writes a response with a length."""
    head = head_bytes(status, [*headers, ("content-length", len(body))])
    writer.write(head + body)
    await writer.drain()
