"""A replica of a small service refuses part of the requests, and writes a few of these refusals once
more on the kept connection, where the next answer is due. Orders may run once at most, and one that
is told 503 may not have run. Without the disruption the replica refuses as often, but writes each
refusal once."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import harness
from harness import BROKEN, HELD, NOT_RUN

CONFIG = {"version": 1, "routes": [
    {"host": "desk.example", "prefix": "/order/", "routeKind": "non_idempotent", "timeoutMs": 1000, "goalMs": 150,
     "service": "desk", "maxAttempts": 2, "priority": 2}],
    "services": [{"name": "desk", "maxConnections": 51, "healthPath": "/healthz"}],
    "tenants": [{"name": "carvers", "apiKeys": ["saw-key"]}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
REPLICAS = 1
FAULTY = 1
SHARE_OF_SECOND_ANSWERS = 0.03
SHARE_OF_SHED_REQUESTS = 0.4
SECONDS = 20
CALLERS = 6
GATEWAYS = 4


class FaultyReplica(harness.Replica):
    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.second_answers = {}
        self.repeated = 0
        self.answered = 0

    def is_full(self):
        return super().is_full() or random.random() < SHARE_OF_SHED_REQUESTS

    async def before_answer(self, call, writer):
        second = self.second_answers.pop(call.connection, None)
        if second:
            self.repeated += 1
            self.record.line(f"second answer replica={self.id} connection={call.connection} {second[0]}")
            writer.write(second[1])
            await writer.drain()

    async def after_answer(self, call, answer, writer):
        self.answered += 1
        is_refusal = answer.startswith(b"HTTP/1.1 503")
        is_within_share = self.repeated + len(self.second_answers) + 1 <= SHARE_OF_SECOND_ANSWERS * self.answered
        if harness.trouble() and is_refusal and is_within_share:
            self.second_answers[call.connection] = (f"of id={call.id}, a refusal", answer)


async def order(caller, number, results, end):
    loop = asyncio.get_running_loop()
    count = 0
    while loop.time() < end:
        count += 1
        request_id = f"order-{number}-{count}"
        answer = await caller.call(request_id, "POST", f"/order/{number}", 1000, body=b"one block")
        results[request_id] = answer
        if answer.status == 503:
            await asyncio.sleep(min(0.3, float(answer.headers.get("retry-after", "0.1"))))


async def run(fleet):
    await fleet.start_store()
    fleet.put_config(CONFIG)
    replicas = []
    for i in range(REPLICAS):
        kind = FaultyReplica if i < FAULTY else harness.Replica
        replica = kind(fleet.store, fleet.record, f"i-{i + 1}", "desk", "zone-a", slots=6, queue=2, work_s=0.03)
        await replica.start("127.0.3.1")
        replicas.append(replica)
    if not await fleet.start_gateways(GATEWAYS):
        fleet.record.line("the gateways did not become ready")
        return NOT_RUN
    await asyncio.sleep(2)
    results = {}
    end = asyncio.get_running_loop().time() + SECONDS
    await asyncio.gather(*[order(harness.Caller(fleet.record, fleet.gateways[i % GATEWAYS]), i, results, end)
                           for i in range(CALLERS)])
    await asyncio.sleep(1)
    runs = {}
    for replica in replicas:
        for request_id in replica.runs:
            runs[request_id] = runs.get(request_id, 0) + 1
    twice = sorted(request_id for request_id, count in runs.items() if count > 1)
    refused = sorted(request_id for request_id, answer in results.items()
                     if answer.status in harness.PROMISES and runs.get(request_id, 0) > 0)
    statuses = {}
    for answer in results.values():
        statuses[answer.status] = statuses.get(answer.status, 0) + 1
    retried = len({i for r in replicas for i in r.refused_ids} & set(runs))
    summary = (f"retried_after_refusal={retried} requests={len(results)} statuses={statuses} refusals={sum(r.refused for r in replicas)}"
               f" second_answers={sum(getattr(r, 'repeated', 0) for r in replicas)}"
               f" answers={sum(r.arrivals for r in replicas)} twice={twice} refused_but_run={refused}")
    fleet.record.line(summary)
    print(summary)
    if not results or not any(answer.status == 200 for answer in results.values()):
        return NOT_RUN
    return BROKEN if twice or refused else HELD


harness.main(__file__, run)
