"""A replica spoils one byte of an event's `id` field now and then. The gateway forwards the event as one without an id, and
then has the same piece sent again by another replica."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from harness import (BROKEN, COULD_NOT_RUN, HELD, TROUBLE, Consumer, Gate, Replica, Store, loopback_block,  # noqa: E402
                     new_attempt, read_message, run_case)

CONSUMERS = 24
RUN_S = 50.0
EVENTS = 32
EVENT_GAP_S = 0.02
LIMIT_MS = 10000
# `garble`: share 0.5 of the replicas spoil x = 0.02 of their answers.
REPLICAS = 4
SPOILING = 2
ONE_IN = 50


class Engine(Replica):
    """Streams events; one that `spoils` writes a wrong byte in the name of one event's id field in each 50th answer."""

    spoils = False
    answered = 0
    spoiled = None

    async def answer(self, request, writer):
        attempt = request.header("x-arbutuspier-attempt-id")
        if request.header("x-arbutuspier-expected-instance") not in ("", self.id):
            await super().answer(request, writer)
            return
        self.answered += 1
        self.ran.append(attempt)
        first = int(request.header("last-event-id") or -1) + 1
        is_spoiled = TROUBLE and self.spoils and first == 0 and self.answered % ONE_IN == 0
        wrong = 5 + self.answered // ONE_IN % 20 if is_spoiled else -1
        if is_spoiled:
            self.spoiled.add(attempt)
        self.record.line(f"run      {attempt} at {self.id} from {first}" + (f", spoils piece {wrong}" if is_spoiled else ""))
        head = [f"{name}: {value}" for name, value in self.answer_headers(request)]
        writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + "\r\n".join(head)
                      + "\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for piece in range(first, EVENTS):
            await asyncio.sleep(EVENT_GAP_S)
            name = "iD" if piece == wrong else "id"
            event = f"{name}: {piece}\ndata: {attempt}-{piece}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def configuration():
    return {
        "version": 1,
        "routes": [{"name": "note", "host": "f.example", "prefix": "/note/", "routeKind": "streaming", "timeoutMs": LIMIT_MS,
                    "goalMs": 250, "gapTargetMs": 200, "maxAttempts": 2, "resumable": True, "service": "desk-core"}],
        "services": [{"name": "desk-core", "maxConnections": 550, "healthPath": "/healthz"}],
        "tenants": [{"name": "desk-a", "apiKeys": ["desk-key"]}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


async def consume(gate, record, streams, until):
    loop = asyncio.get_running_loop()
    consumer = Consumer(gate, record, "f.example", "desk-key")
    while loop.time() < until:
        attempt = new_attempt()
        try:
            if consumer.writer is None:
                await consumer.connect()
            consumer.writer.write(consumer.request_bytes("POST", "/note/1", attempt, b"a note", LIMIT_MS))
            answer = await asyncio.wait_for(read_message(consumer.reader), LIMIT_MS / 1000)
        except (OSError, asyncio.TimeoutError):
            answer = None
        if answer is None or not answer.whole or answer.status != 200:
            record.line(f"answered {attempt}, not complete: {answer.status if answer else 'nothing'}")
            consumer.close()
            continue
        pieces = [int(line.rsplit(b"-", 1)[1]) for line in answer.body.split(b"\n") if line.startswith(b"data: ")]
        streams[attempt] = pieces
        if pieces != list(range(EVENTS)):
            record.line(f"answered {attempt} with 200, complete, pieces {pieces}")


async def case(record, temporary):
    loop = asyncio.get_running_loop()
    block = loopback_block()
    store = Store(f"{block}.1")
    await store.listen()
    spoiled = set()
    replicas = [Engine(f"{block}.{10 + i}", store, f"e-{i}", "desk-core", "inn-a", record) for i in range(REPLICAS)]
    for i, replica in enumerate(replicas):
        replica.spoils = i < SPOILING
        replica.spoiled = spoiled
        await replica.start()
    store.put("op", "config", configuration())
    gates = [Gate(f"{block}.{40 + i}", f"edge-inn-a-{i + 1}", "inn-a", store, temporary, [f"{block}.40"]) for i in range(2)]
    try:
        for gate in gates:
            gate.start()
        for gate in gates:
            if not await gate.await_ready():
                record.line("a gateway did not become ready")
                return COULD_NOT_RUN
        streams = {}
        until = loop.time() + RUN_S
        await asyncio.gather(*(consume(gates[i % 2], record, streams, until) for i in range(CONSUMERS)))
        if len(streams) < CONSUMERS:
            return COULD_NOT_RUN
        wrong = {attempt for attempt, pieces in streams.items() if pieces != list(range(EVENTS))}
        record.line(f"{len(streams)} complete streams, {len(spoiled)} answers spoiled; {len(wrong)} complete streams with a "
                    f"piece that is missing or comes twice, {len(wrong - spoiled)} of them of sound answers")
        return BROKEN if wrong else HELD
    finally:
        for gate in gates:
            gate.stop()
        for server in [store, *replicas]:
            server.close()


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
