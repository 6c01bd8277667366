"""Two of four replicas of a service with resumable streams spoil a few of their answers: one digit of
the id of one event is wrong. The gateway sees that an id is skipped and continues at another replica.
The caller has to get every piece once, or a stream that doesn't end as complete."""

import asyncio
import os
import random
import re
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import harness
from harness import BROKEN, HELD, NOT_RUN

CONFIG = {"version": 1, "routes": [
    {"host": "desk.example", "prefix": "/ask/", "routeKind": "streaming", "resumable": True, "timeoutMs": 10000,
     "goalMs": 300, "gapTargetMs": 250, "service": "desk", "maxAttempts": 2, "priority": 1}],
    "services": [{"name": "desk", "maxConnections": 204, "healthPath": "/healthz"}],
    "tenants": [{"name": "carvers", "apiKeys": ["saw-key"]}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
SHARE_OF_SPOILED_ANSWERS = 0.02
REPLICAS = 4
FAULTY = 2
GATEWAYS = 4
CALLERS = 24
SECONDS = 25
LAST_EVENT = 32
EVENTS_PER_WRITE = 3
PAUSE_S = 0.02


def event(number):
    return f"id: {number}\ndata: piece {number}\n\n"


def spoiled_event(number):
    digits = list(str(number))
    place = random.randrange(len(digits))
    digits[place] = random.choice([digit for digit in "0123456789" if digit != digits[place]])
    return f"id: {''.join(digits)}\ndata: piece {number}\n\n"


class StreamingReplica(harness.Replica):
    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.writers = {}
        self.is_faulty = False
        self.spoiled = 0

    async def before_answer(self, call, writer):
        self.writers[call.connection] = writer

    def pick_spoiled_event(self, first):
        """Neither the first event, whose id can't be checked, nor one of the last write, after which
        the stream doesn't go on."""
        numbers = range(first + 1, LAST_EVENT - EVENTS_PER_WRITE)
        is_within_share = self.spoiled + 1 <= SHARE_OF_SPOILED_ANSWERS * len(self.runs)
        if not harness.trouble() or not self.is_faulty or not is_within_share or not numbers:
            return None
        self.spoiled += 1
        return random.choice(numbers)

    async def run(self, call):
        self.runs.append(call.id)
        writer = self.writers[call.connection]
        first = int(call.headers.get("last-event-id", "0")) + 1
        spoiled = self.pick_spoiled_event(first)
        self.record.line(f"run replica={self.id} id={call.id} from event {first} spoiled={spoiled}")
        headers = self.own_headers(call) + [("X-Arbutuspier-Response-Signature", self.id + "." + call.id),
                                            ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers) + "\r\n").encode())
        number = first
        while number <= LAST_EVENT:
            await asyncio.sleep(PAUSE_S)
            end = min(number + EVENTS_PER_WRITE, LAST_EVENT + 1)
            text = "".join(spoiled_event(i) if i == spoiled else event(i) for i in range(number, end))
            self.record.line(f"write replica={self.id} id={call.id} {text!r}" if number <= (spoiled or 0) < end
                             else f"write replica={self.id} id={call.id} events {number} to {end - 1}")
            writer.write(f"{len(text):x}\r\n{text}\r\n".encode())
            await writer.drain()
            number = end
        return b"0\r\n\r\n"


async def ask(caller, name, results, end):
    loop = asyncio.get_running_loop()
    count = 0
    while loop.time() < end:
        count += 1
        request_id = f"{name}-{count}"
        answer = await caller.call(request_id, "POST", f"/ask/{count % 7}", 10000, body=b"is this batch affected?")
        pieces = [int(text) for text in re.findall(r"data: piece (\d+)\n", answer.body.decode())]
        results[request_id] = (answer, pieces)
        caller.record.line(f"pieces of id={request_id}: {pieces}")


async def run(fleet):
    await fleet.start_store()
    fleet.put_config(CONFIG)
    replicas = []
    for i in range(REPLICAS):
        replica = StreamingReplica(fleet.store, fleet.record, f"i-{i + 1}", "desk", "zone-a", slots=16)
        replica.is_faulty = i < FAULTY
        await replica.start("127.0.3.1")
        replicas.append(replica)
    if not await fleet.start_gateways(GATEWAYS):
        fleet.record.line("the gateways did not become ready")
        return NOT_RUN
    await asyncio.sleep(2)
    results = {}
    end = asyncio.get_running_loop().time() + SECONDS
    await asyncio.gather(*[ask(harness.Caller(fleet.record, fleet.gateways[i % GATEWAYS]), f"ask-{i}", results, end)
                           for i in range(CALLERS)])
    complete = {request_id: pieces for request_id, (answer, pieces) in results.items()
                if answer.status == 200 and not answer.error}
    wrong = {request_id: sorted(set(range(1, LAST_EVENT + 1)) - set(pieces)) or "twice or out of order"
             for request_id, pieces in complete.items() if pieces != list(range(1, LAST_EVENT + 1))}
    spoiled = sum(replica.spoiled for replica in replicas)
    summary = (f"streams={len(results)} ended as complete={len(complete)} spoiled={spoiled} of"
               f" {sum(len(replica.runs) for replica in replicas)} answers, complete streams that lack pieces: {len(wrong)}")
    fleet.record.line(summary)
    fleet.record.line(f"missing pieces: {wrong}")
    print(summary)
    if not complete:
        return NOT_RUN
    return BROKEN if wrong else HELD


harness.main(__file__, run)
