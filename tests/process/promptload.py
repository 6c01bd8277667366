#!/usr/bin/env python3
"""Sends prompts to gateways at a steady rate and logs what their callers saw.

    promptload.py FOLDER PORT FIRST_PART SEED

FOLDER/traffic says what to send, one line each, and is read again all the time:
    sound RATE GATEWAY...           sound prompts, RATE a second to each gateway
    middle:PART RATE GATEWAY...     prompts that hold PART in the middle
    first:PART RATE GATEWAY...      prompts that hold PART in front
Gateway N listens on 127.0.0.N. Most prompts begin with FIRST_PART. Ends when FOLDER/stop exists.
FOLDER/requests.log gets two lines for each request, as it is sent and when it ended:
    sent ID KIND GATEWAY SENT_MS
    ended ID STATUS EVENTS
with status 0 if no response head came.
"""
import asyncio
import os
import random
import sys
import time

FOLDER, PORT, FIRST_PART, SEED = sys.argv[1], int(sys.argv[2]), sys.argv[3], int(sys.argv[4])
SESSIONS = ["%08x" % (0xabc00000 + number) for number in range(12)]
TIMEOUT_S = 6
POLL_S = 0.05


def now_ms():
    return int(time.time() * 1000)


class Load:
    def __init__(self):
        self.random = random.Random(SEED)
        self.count = 0
        self.log = open(os.path.join(FOLDER, "requests.log"), "w", buffering=1)
        self.due = {}
        self.tasks = set()

    def parts(self, kind, number):
        """Returns the ids of the prompt's parts; the last is the request's own."""
        own = "%08x" % (0xd0000000 + number)
        session = self.random.choice(SESSIONS)
        draw = self.random.random()
        name, _, part = kind.partition(":")
        if name == "first":
            return [part, session, own]
        if name == "middle":
            return [FIRST_PART, part, session, own] if draw < 0.5 else [FIRST_PART, session, part, own]
        if draw < 0.2:
            return [FIRST_PART, own]
        if draw < 0.4:
            return ["%08x" % (0xe0000000 + number), session, own]
        return [FIRST_PART, session, own]

    def message(self, kind, number, request_id):
        prefix = ",".join("%s:%d" % (part, 100) for part in self.parts(kind, number))
        body = "prompt %d" % number
        return (
            "POST /ask/1 HTTP/1.1\r\nHost: f.example\r\nAuthorization: Bearer saw-key\r\n"
            "X-Arbutuspier-Attempt-Id: %s\r\nX-Arbutuspier-Deadline-Ms: 5000\r\n"
            "X-Arbutuspier-Model: grain\r\nX-Arbutuspier-Token-Usage: 400,10\r\n"
            "X-Arbutuspier-Prompt-Prefix: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s"
            % (request_id, prefix, len(body), body)
        ).encode()

    async def exchange(self, gateway, message):
        """Returns the status and the response after its head, as far as they came."""
        response = b""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.%d" % gateway, PORT)
        except OSError:
            return 0, response
        try:
            writer.write(message)
            while piece := await reader.read(65536):
                response += piece
        except OSError:
            pass
        except asyncio.CancelledError:
            pass
        writer.close()
        head, _, body = response.partition(b"\r\n\r\n")
        fields = head.split(b" ", 2)
        return (int(fields[1]) if len(fields) > 1 else 0), body

    async def run_request(self, kind, gateway):
        self.count += 1
        request_id = "%s-%d-%d" % (kind.replace(":", "-"), gateway, self.count)
        self.log.write("sent %s %s %d %d\n" % (request_id, kind, gateway, now_ms()))
        task = asyncio.ensure_future(
            self.exchange(gateway, self.message(kind, self.count, request_id)))
        _, late = await asyncio.wait({task}, timeout=TIMEOUT_S)
        for pending in late:
            pending.cancel()
        status, body = await task
        self.log.write("ended %s %d %d\n" % (request_id, status, body.count(b"id: ")))

    def start_due_requests(self):
        with open(os.path.join(FOLDER, "traffic")) as file:
            lines = [line.split() for line in file if line.strip()]
        now = time.monotonic()
        wanted = {(line[0], int(number)): float(line[1]) for line in lines for number in line[2:]}
        self.due = {key: due for key, due in self.due.items() if key in wanted}
        for (kind, gateway), rate in wanted.items():
            due = self.due.setdefault((kind, gateway), now + self.random.random() / rate)
            if due > now:
                continue
            self.due[(kind, gateway)] = max(due + 1 / rate, now)
            task = asyncio.ensure_future(self.run_request(kind, gateway))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def run(self):
        while not os.path.exists(os.path.join(FOLDER, "stop")):
            self.start_due_requests()
            await asyncio.sleep(POLL_S)


asyncio.run(Load().run())
