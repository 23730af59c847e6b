"""A stream reaches its client as complete, without the pieces after an id with a wrong byte."""

import asyncio
import itertools
import os
import shutil
import sys
import tempfile

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins_2 import Engine, Record, Store, Vm, config, now, request, run_case  # noqa: E402

ZONES = {"lodz-a": "pl-centrum", "lodz-b": "pl-centrum", "lodz-c": "pl-centrum"}
ENGINES_PER_ZONE = 4
EVENTS = 60
STREAMS = 150
INTERVAL_S = 0.035
# The site's dose: share = 0.6, x = 0.03, for_s = 5.5. Seven engines of twelve spoil every 34th of their
# answers, counted over all of them.
SPOILING_ENGINES = 7
SPOILED_INTERVAL = 34
TROUBLE_S = 5.5


async def ask(vm, attempt):
    part = attempt.encode().hex()
    headers = ["X-Model: m", "X-Token-Usage: 400,240", f"X-Prompt-Prefix: 5c1e07a2:80,{part}:320"]
    return attempt, await request(
        vm.callers, "POST", "/draft/1", attempt, "key-1", 39000, f"{EVENTS} events", headers
    )


async def main(has_trouble):
    folder = tempfile.mkdtemp()
    record, store, vms, engines = Record(FOLDER), Store(), [], []
    try:
        await store.start()
        await store.put("op", "config", config(4, {"parlour-1": ["key-1"]}))
        for zone in ZONES:
            for number in range(ENGINES_PER_ZONE):
                engine = Engine(store, f"i-{zone}-{number}", zone, engines, drops=True)
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
    streams, count = [], itertools.count(1)
    if has_trouble:
        for engine in engines[:SPOILING_ENGINES]:
            engine.spoils = lambda: next(count) % SPOILED_INTERVAL == 0
            engine.spoils_until = now() + TROUBLE_S
        record.note(f"{SPOILING_ENGINES} engines spoil every {SPOILED_INTERVAL}th stream for {TROUBLE_S} s")
    for number in range(STREAMS):
        streams.append(asyncio.create_task(ask(vms[number % len(vms)], f"stream-{number}")))
        await asyncio.sleep(INTERVAL_S)
    return judge(record, engines, await asyncio.gather(*streams))


def judge(record, engines, answers):
    """Whether a stream that ended as complete lacks a piece."""
    spoiled = {run["attempt"] for engine in engines for run in engine.runs if run["spoils"]}
    ran_at = {}
    for engine in engines:
        for run in engine.runs:
            ran_at.setdefault(run["attempt"], []).append(engine.name)
    broken = 0
    for attempt, answer in answers:
        pieces = [line for line in answer.body.decode().split("\n") if line.startswith("data: ")]
        expected = [f"data: {attempt}.{number}" for number in range(1, EVENTS + 1)]
        missing = [piece for piece in expected if piece not in pieces]
        # The status is 0 where the answer broke off.
        is_broken = answer.status == 200 and bool(missing)
        broken += is_broken
        text = f"{attempt}: status {answer.status}, {len(pieces)} of {EVENTS} pieces, "
        text += f"ran at {', '.join(ran_at.get(attempt, ['no engine']))}"
        text += ", an id was spoiled" if attempt in spoiled else ""
        record.note(text + (f"  <- complete without {len(missing)} pieces" if is_broken else ""), answer.sent)
    record.note(f"{len(spoiled)} streams were spoiled; {broken} ended as complete without all pieces")
    print(f"{len(spoiled)} streams were spoiled; {broken} ended as complete without all pieces")
    return broken > 0


run_case(main)
