"""The platform changes a bound to a fraction; stopped machines don't start again."""
import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
from standins import *

ZONES = ["lodz-a", "lodz-b"]
GRACE_S, CHANGED_GRACE_S = 8, 8.5
STARTS = 3


async def main(record, work, machines):
    store = Store()
    zones = {zone: "pl-centrum" for zone in ZONES}
    await store.put("op", "config", config(7, [KEY]))
    for zone in ZONES:
        await Engine("i-" + zone, "model", zone, record).start(store)
    seeds, addresses = [], {}
    for zone in ZONES:
        machine = Machine("edge-%s-1" % zone, zone, zones, seeds, work, record,
                          {"grace_period_s": GRACE_S})
        machines.append(machine)
        seeds.append(machine.control)
        addresses[machine.name] = await store.listen(machine.name)
        machine.start(addresses[machine.name])
    for machine in machines:
        if not await machine.wait_ready():
            record.say("%s is not ready" % machine.name)
            return 2
    await asyncio.sleep(3)
    _, status, _, _, whole = await call(machines[0], "/draft/before", deadline_ms=6000, model=True)
    record("before: answered %d, whole %s" % (status, whole))
    if status != 200 or not whole:
        return 2

    grace = CHANGED_GRACE_S if trouble() else GRACE_S
    failed = {}
    for machine in machines:
        machine.fields["bounds"]["grace_period_s"] = grace
        record("%s: grace_period_s becomes %s; SIGTERM" % (machine.name, grace))
        machine.process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + grace
        while machine.process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.05)
        machine.kill()
        failed[machine.name] = 0
        for _ in range(STARTS):
            await asyncio.sleep(0.5)
            machine.start(addresses[machine.name])
            await asyncio.sleep(1)
            if machine.process.poll() is None:
                break
            failed[machine.name] += 1
            record("%s has ended by itself, status %d" % (machine.name, machine.process.returncode))
    ready = [machine.name for machine in machines
             if machine.process.poll() is None and await machine.wait_ready()]
    statuses = []
    for machine in machines:
        _, status, _, _, _ = await call(machine, "/draft/after", deadline_ms=6000, model=True)
        statuses.append(status)
    record.say("starts that ended by themselves: %s; ready: %s; answers afterwards (0: none): %s"
               % (failed, ready, statuses))
    return 1 if all(count == STARTS for count in failed.values()) else 0


run(HERE, main)
