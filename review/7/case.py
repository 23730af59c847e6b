"""A generation goes on at its standby while the engine before it, which was silent for a moment, works on."""

import asyncio
import os
import shutil
import sys
import tempfile

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins_2 import Engine, Record, Store, Vm, config, now, request, run_case  # noqa: E402

ZONES = {"lodz-a": "pl-centrum", "lodz-b": "pl-centrum", "lodz-c": "pl-centrum"}
ENGINES_PER_ZONE = 4
# One engine in four does not drop a request when its channel closes; the others do.
KEEPING_ENGINE = 0
EVENTS = 200
STREAMS = 24
SILENCE_S = 1.3
# The rule's time.
OVERLAP_S = 0.4


async def ask(vm, attempt):
    part = attempt.encode().hex()
    headers = ["X-Model: m", "X-Token-Usage: 400,800", f"X-Prompt-Prefix: 5c1e07a2:80,{part}:320"]
    return await request(vm.callers, "POST", "/draft/1", attempt, "key-1", 39000, f"{EVENTS} events", headers)


async def main(has_trouble):
    folder = tempfile.mkdtemp()
    record, store, vms, engines = Record(FOLDER), Store(), [], []
    try:
        await store.start()
        await store.put("op", "config", config(4, {"parlour-1": ["key-1"]}))
        for zone in ZONES:
            for number in range(ENGINES_PER_ZONE):
                engine = Engine(store, f"i-{zone}-{number}", zone, engines, number != KEEPING_ENGINE)
                await engine.start()
                await engine.register()
        vms += [Vm(f"edge-{zone}-1", zone) for zone in ZONES]
        for vm in vms:
            vm.write_settings(ZONES, store, [vm.peers for vm in vms], folder)
            vm.start()
        for vm in vms:
            await vm.wait_until_ready()
        await asyncio.sleep(5)
        return await play(has_trouble, record, vms, engines)
    finally:
        for vm in vms:
            vm.kill()
        shutil.rmtree(folder)


async def play(has_trouble, record, vms, engines):
    record.note(f"{STREAMS} streams of {EVENTS} events are sent")
    streams = [asyncio.create_task(ask(vms[n % len(vms)], f"stream-{n}")) for n in range(STREAMS)]
    await asyncio.sleep(1.5)
    if has_trouble:
        for engine in engines:
            if not engine.drops:
                engine.fall_silent(SILENCE_S)
                record.note(f"{engine.name} falls silent for {SILENCE_S} s: {len(engine.running)} runs")
    answers = await asyncio.gather(*streams)
    await asyncio.sleep(1)
    return judge(record, engines, answers)


def judge(record, engines, answers):
    """Whether a request went on at an engine while the one before worked on it 400 ms later."""
    broken = 0
    for number, answer in enumerate(answers):
        attempt = f"stream-{number}"
        runs = [(run, engine) for engine in engines for run in engine.runs if run["attempt"] == attempt]
        runs.sort(key=lambda item: item[0]["start"])
        whole = "".join(f"id: {n}\ndata: {attempt}.{n}\n\n" for n in range(1, EVENTS + 1)).encode()
        record.note(f"{attempt}: status {answer.status}, whole: {answer.body == whole}", answer.sent)
        for run, engine in runs:
            kind = "goes on" if run["goes_on"] else "starts"
            end = run["end"] or now()
            record.note(f"    {kind} at {engine.name}, which works on it until {end:.3f} s", run["start"])
        for (before, _), (after, _) in zip(runs, runs[1:]):
            overlap = (before["end"] or now()) - after["start"]
            if overlap > OVERLAP_S:
                record.note(f"    two engines worked on it for {overlap:.2f} s", after["start"])
                broken += 1
    record.note(f"{broken} requests went on while the engine before worked on them 400 ms later")
    print(f"{broken} of {STREAMS} requests went on while the engine before worked on them 400 ms later")
    return broken > 0


run_case(main)
