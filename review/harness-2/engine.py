"""A sound engine: it runs what it gets, answers in order and records it."""
import asyncio
import json
import socket
import struct
import time

import deployment as d


class Engine:
    def __init__(self, system, number, service, slots=48):
        self.system, self.record = system, system.record
        self.service, self.slots = service, slots
        self.address = (system.network + str(100 + number), 0)
        self.starts, self.number = 0, number
        self.state, self.server, self.channels = "ready", None, set()
        self.runs = []  # (request id, path, time)
        self.running = set()
        self.on_run = None  # may crash the engine

    async def start(self):
        """Starts a new incarnation, with a new id."""
        self.starts += 1
        self.id = "i-%d-%d" % (self.number, self.starts)
        self.born = int(time.time() * 1000)
        self.up = True
        self.server = await asyncio.start_server(
            self.serve, self.address[0], self.address[1])
        self.address = self.server.sockets[0].getsockname()[:2]

    def crash(self):
        """Ends at once: the port is closed and all channels are reset."""
        self.up = False
        self.record("engine", self.id, "crashes; it ran", sorted(self.running))
        self.running = set()
        self.server.close()
        for writer in list(self.channels):
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    def entry(self):
        return {"id": self.id, "service": self.service,
                "address": "%s:%d" % self.address, "zone": "za",
                "version": "v1", "slots": self.slots, "state": self.state,
                "cold-remaining-ms": 0, "born": self.born}

    def head(self, status, request, fields):
        lines = ["HTTP/1.1 %d OK" % status, "Keep-Alive: timeout=30",
                 "X-Acacianotch-Engine-Load: %d,0,%d"
                 % (len(self.running), self.slots)]
        if request:
            lines.append("X-Acacianotch-Request-Id: " + request)
        return ("\r\n".join(lines + fields) + "\r\n\r\n").encode()

    async def serve(self, reader, writer):
        self.channels.add(writer)
        incarnation = self.starts
        try:
            while True:
                line, headers = await d.read_head(reader)
                body = await d.read_body(reader, headers)
                if not self.up or incarnation != self.starts:
                    return
                await self.answer(writer, line.split(" "), headers, body)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    async def answer(self, writer, line, headers, body):
        path = line[1]
        request = headers.get("x-acacianotch-request-id", "")
        if path == "/api/report":
            report = json.dumps({
                "stage": "both", "models": [], "busy": False, "sequence": 0,
                "queued": 0, "active": len(self.running), "kv-used": 0,
                "kv-total": 553448, "handles": 0, "born": self.born,
                "runs": [[each, 0, 0, 1] for each in self.running]}).encode()
            writer.write(self.head(200, "", [
                "Content-Length: %d" % len(report)]) + report)
            return await writer.drain()
        if headers.get("x-acacianotch-expect-instance", self.id) != self.id:
            writer.write(self.head(421, request, ["Content-Length: 0"]))
            return await writer.drain()
        self.runs.append((request, path, self.record.now()))
        self.running.add(request)
        try:
            if self.on_run is not None:
                await self.on_run(self, path)
            if path.startswith("/stream/"):
                await self.stream(writer, request, headers)
            else:
                await self.plain(writer, request)
        finally:
            self.running.discard(request)

    async def plain(self, writer, request):
        await asyncio.sleep(0.015)
        content = ("answer to " + request).encode()
        writer.write(self.head(200, request, [
            "X-Acacianotch-Response-Seal: seal-" + request,
            "Content-Length: %d" % len(content)]) + content)
        await writer.drain()

    async def stream(self, writer, request, headers):
        writer.write(self.head(200, request, [
            "X-Acacianotch-Response-Seal: seal-" + request,
            "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]))
        first = int(headers.get("last-event-id") or 0) + 1
        for number in range(first, 21):
            event = b"id: %d\ndata: %s\n\n" % (number, request.encode())
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
