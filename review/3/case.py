"""Two engines fall silent for a moment while a machine is stopped; it cuts their streams."""
import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
from standins import *

SILENT_S = 1.5
EVENTS, PAUSE_S = 100, 0.03
STREAMS = 8


async def main(record, work, machines):
    store = Store()
    zones = {"lodz-a": "pl-centrum"}
    await store.put("op", "config", config(7, [KEY]))
    engines = []
    for number in range(2):
        engine = Engine("i-%d" % number, "model", "lodz-a", record, events=EVENTS, pause=PAUSE_S)
        await engine.start(store)
        engines.append(engine)
    for engine in engines:
        engine.peers = {other.address: other for other in engines if other is not engine}
    seeds = []
    for number in (1, 2):
        machine = Machine("edge-lodz-a-%d" % number, "lodz-a", zones, seeds, work, record)
        machines.append(machine)
        seeds.append(machine.control)
        machine.start(await store.listen(machine.name))
    for machine in machines:
        if not await machine.wait_ready():
            record.say("%s is not ready" % machine.name)
            return 2
    await asyncio.sleep(4)
    _, status, _, _, whole = await call(machines[0], "/draft/before", deadline_ms=10000, model=True)
    if status != 200 or not whole:
        record.say("no stream before the stop: %d" % status)
        return 2
    stopped = machines[0]
    results = []

    async def stream(number):
        attempt, status, _, data, whole = await call(stopped, "/draft/%d" % number,
                                                     deadline_ms=39000, model=True)
        expected = "".join("id: %d\ndata: %s.%d\n\n" % (seq, attempt, seq)
                           for seq in range(1, EVENTS + 1)).encode()
        outcome = ("whole" if whole and data == expected else "refused" if status == 503
                   else "cut after %d events" % data.count(b"\n\n"))
        record("client: %s %d %s" % (attempt, status, outcome))
        results.append((status, outcome))

    tasks = []
    for number in range(STREAMS):
        tasks.append(asyncio.create_task(stream(number)))
        await asyncio.sleep(0.03)
    await asyncio.sleep(0.05)
    stopped.process.send_signal(signal.SIGTERM)
    record("%s gets SIGTERM" % stopped.name)
    if trouble():
        for engine in engines:
            engine.fall_silent(SILENT_S)
    await asyncio.gather(*tasks)
    record.say("streams sent before the SIGTERM: %s" % [outcome for _, outcome in results])
    if not any(status == 200 for status, _ in results):
        return 2
    return 1 if any(status == 200 and outcome != "whole" for status, outcome in results) else 0


run(HERE, main)
