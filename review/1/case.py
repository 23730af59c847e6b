"""Engines in trouble answer some requests without end; machines run out of memory.

The platform of this script kills a process that exceeds its memory limit, and starts it again after
a second. The rule is broken if the processes of two machines end three times each.
"""
import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
from standins import *

ZONES = ["lodz-a", "lodz-b", "lodz-c"]
# The largest doses of `garble` in the site file: share of the engines, share of their answers, and
# length. It comes more than once.
SHARE, OF_ANSWERS, FOR_S, PAUSE_S = 0.5, 0.05, 5.5, 0.5
STREAMS_PER_S = 11.0
MAX_S = 85.0
# Chunks of two bytes, many of them in one write.
ENDLESS = b"2\r\nx\n\r\n" * 20000


async def main(record, work, machines):
    luck = random.Random(32)
    state = {"trouble": False, "endless": 0}

    async def respond(engine, writer, line, headers, body):
        if not (engine.in_trouble and state["trouble"] and luck.random() < OF_ANSWERS):
            return False
        attempt = headers["x-attempt-id"]
        state["endless"] += 1
        record("engine %s answers %s without end" % (engine.name, attempt))
        writer.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n" % attempt).encode())
        sent = 0
        try:
            while True:
                writer.write(ENDLESS)
                await writer.drain()
                sent += len(ENDLESS)
        finally:
            record("engine %s: channel of %s closed after %d bytes" % (engine.name, attempt, sent))

    store = Store()
    zones = {zone: "pl-centrum" for zone in ZONES}
    await store.put("op", "config", config(7, [KEY]))
    for number in range(6):
        engine = Engine("i-%d" % number, "model", ZONES[number % 3], record, respond=respond)
        engine.in_trouble = number < 6 * SHARE
        await engine.start(store)
    seeds, addresses, ends = [], {}, {}
    for zone in ZONES:
        machine = Machine("edge-%s-1" % zone, zone, zones, seeds, work, record)
        machines.append(machine)
        seeds.append(machine.control)
        addresses[machine.name] = await store.listen(machine.name)
        ends[machine.name] = 0
    for machine in machines:
        machine.start(addresses[machine.name])
    for machine in machines:
        if not await machine.wait_ready():
            record.say("%s is not ready" % machine.name)
            return 2
    await asyncio.sleep(4)

    peaks = {}
    up = {machine.name for machine in machines}

    async def limit_memory(machine):
        while True:
            used = machine.rss_mb()
            peaks[machine.name] = max(peaks.get(machine.name, 0), used)
            if used > MEMORY_LIMIT_MB:
                ends[machine.name] += 1
                up.discard(machine.name)
                record("%s uses %.0f MB and is killed (limit %d MB), end %d"
                       % (machine.name, used, MEMORY_LIMIT_MB, ends[machine.name]))
                machine.kill()
                await asyncio.sleep(1)
                machine.start(addresses[machine.name])
                await machine.wait_ready()
                up.add(machine.name)
            if machine.name in up and machine.process.poll() is not None:
                ends[machine.name] += 1
                record("%s ended by itself: %s" % (machine.name, machine.process.returncode))
                machine.start(addresses[machine.name])
                await machine.wait_ready()
            await asyncio.sleep(0.02)

    results = {}

    async def stream(machine):
        attempt, status, _, data, whole = await call(machine, "/draft/x", deadline_ms=39000,
                                                     model=True)
        outcome = "%d %s" % (status, "whole" if whole else "cut off")
        results[outcome] = results.get(outcome, 0) + 1
        record("client: %s at %s: %s" % (attempt, machine.name, outcome))

    async def windows():
        while trouble():
            state["trouble"] = True
            await asyncio.sleep(FOR_S)
            state["trouble"] = False
            await asyncio.sleep(PAUSE_S)

    tasks = [asyncio.create_task(limit_memory(machine)) for machine in machines]
    tasks.append(asyncio.create_task(windows()))
    started = time.monotonic()

    def is_broken():
        return sum(1 for count in ends.values() if count >= 3) >= 2
    while time.monotonic() - started < MAX_S and not is_broken():
        ready = [machine for machine in machines if machine.name in up]
        if ready:
            tasks.append(asyncio.create_task(stream(luck.choice(ready))))
        await asyncio.sleep(1 / STREAMS_PER_S)
    for task in tasks:
        task.cancel()
    record.say("after %.0f s: %d answers without end; ends by machine: %s; largest memory, MB: %s"
               % (time.monotonic() - started, state["endless"], ends,
                  {name: round(peak) for name, peak in peaks.items()}))
    record.say("streams: %s" % results)
    return 1 if is_broken() else 0


run(HERE, main)
