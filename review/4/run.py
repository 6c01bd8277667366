"""Two of four gateways are cut off from the store for five seconds each, one a little later than the
other. A replica leaves without reporting "draining" meanwhile: its entry is removed, and it goes on
serving. The two gateways that were never cut off may send it nothing later than drainMs after that."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import harness
from harness import BROKEN, HELD, NOT_RUN

CONFIG = {"version": 1, "routes": [
    {"host": "desk.example", "prefix": "/look/", "routeKind": "idempotent", "timeoutMs": 1000, "goalMs": 150,
     "service": "desk", "maxAttempts": 2, "priority": 1}],
    "services": [{"name": "desk", "maxConnections": 51, "healthPath": "/healthz"}],
    "tenants": [{"name": "carvers", "apiKeys": ["saw-key"]}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
CUT_S = 5.0
SECOND_CUT_LATER_S = 1.6
LEAVES_AFTER_FIRST_RETURN_S = 0.5
DRAIN_S = harness.BOUNDS["drainMs"] / 1000
ROUNDS = 5


class TimedReplica(harness.Replica):
    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.arrived = []

    async def before_answer(self, call, writer):
        self.arrived.append((time.monotonic(), call.id))

    def leave(self):
        self.heartbeat.cancel()
        self.store.remove("servers", self.id)


async def look(caller, stop, name):
    count = 0
    while not stop.is_set():
        count += 1
        await caller.call(f"{name}-{count}", "GET", f"/look/{count % 7}", 1000)
        await asyncio.sleep(0.01)


async def run(fleet):
    await fleet.start_store()
    fleet.put_config(CONFIG)
    replicas = []
    for i in range(3 + ROUNDS):
        replica = TimedReplica(fleet.store, fleet.record, f"i-{i + 1}", "desk", "zone-a")
        await replica.start("127.0.3.1")
        replicas.append(replica)
    links = []
    for _ in range(4):
        link = harness.StoreLink(fleet.store.address)
        await link.start("127.0.1.2")
        links.append(link)
    if not await fleet.start_gateways(4, [link.address for link in links]):
        fleet.record.line("the gateways did not become ready")
        return NOT_RUN
    await asyncio.sleep(4)
    stop = asyncio.Event()
    callers = [asyncio.ensure_future(look(harness.Caller(fleet.record, fleet.gateways[2 + i % 2]), stop, f"look-{i}"))
               for i in range(8)]
    left = []

    async def cut(link, delay):
        await asyncio.sleep(delay)
        if harness.trouble():
            fleet.record.line(f"gateway edge-{links.index(link) + 1} is cut off from the store")
            await link.cut_for(CUT_S)
            fleet.record.line(f"gateway edge-{links.index(link) + 1} reaches the store again")

    for number in range(ROUNDS):
        cuts = asyncio.gather(cut(links[0], 0), cut(links[1], SECOND_CUT_LATER_S))
        await asyncio.sleep(CUT_S + LEAVES_AFTER_FIRST_RETURN_S)
        replica = replicas[number]
        replica.leave()
        left.append((replica, time.monotonic()))
        fleet.record.line(f"the entry of {replica.id} is removed")
        await cuts
        await asyncio.sleep(7)
    stop.set()
    await asyncio.gather(*callers)
    if any(gateway.ends for gateway in fleet.gateways):
        return NOT_RUN
    late = []
    for replica, left_at in left:
        late += [(replica.id, request_id, round((at - left_at) * 1000))
                 for at, request_id in replica.arrived if at > left_at + DRAIN_S]
    summary = (f"requests={sum(len(r.arrived) for r in replicas)} replicas that left={len(left)}"
               f" requests that reached one later than {DRAIN_S * 1000:.0f} ms after it had left: {len(late)},"
               f" the latest after {max([ms for _, _, ms in late], default=0)} ms")
    fleet.record.line(summary)
    fleet.record.line(f"late: {late}")
    print(summary)
    return BROKEN if late else HELD


harness.main(__file__, run)
