"""A call that may run once is answered 503, which promises that it has not run, although it has."""

import asyncio
import itertools
import os
import shutil
import sys
import tempfile
from collections import Counter

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins_2 import BackEnd, Record, Store, Vm, config, now, request, run_case  # noqa: E402

ZONES = {"lodz-a": "pl-centrum", "lodz-b": "pl-centrum", "lodz-c": "pl-centrum"}
ORDERS = 240
INTERVAL_S = 0.03
# One back end of three fails 0.4 of its requests (`kinds`: srv_grey, x (.4)).
FAILING = (1, 3)  # of each five requests in turn
# The site has it for 6.5 to 7.7 s.
TROUBLE_S = 7.5
PROMISES = (408, 421, 429, 503)


async def place_order(vms, number, answers):
    """Places one order. After a promise that it has not run, it is sent once more, at another VM."""
    for attempt_number in (1, 2):
        vm = vms[(number + attempt_number) % len(vms)]
        attempt = f"order-{number}.{attempt_number}"
        answer = await request(vm.callers, "POST", f"/order/{number}", attempt, "key-1")
        answers.append((attempt, answer))
        if answer.status not in PROMISES:
            return
        await asyncio.sleep(0.1)


async def main(has_trouble):
    folder = tempfile.mkdtemp()
    record, store, vms = Record(FOLDER), Store(), []
    try:
        await store.start()
        await store.put("op", "config", config(4, {"parlour-1": ["key-1"]}))
        back_ends = [BackEnd(store, f"i-{zone}", "desk", zone) for zone in ZONES]
        for back_end in back_ends:
            await back_end.start()
            await back_end.register()
        vms += [Vm(f"edge-{zone}-1", zone) for zone in ZONES]
        for vm in vms:
            vm.write_settings(ZONES, store, [vm.peers for vm in vms], folder)
            vm.start()
        for vm in vms:
            await vm.wait_until_ready()
        await asyncio.sleep(5)
        return await play(has_trouble, record, vms, back_ends)
    finally:
        for vm in vms:
            vm.kill()
        shutil.rmtree(folder)


async def play(has_trouble, record, vms, back_ends):
    answers, orders, count = [], [], itertools.count()
    if has_trouble:
        end = now() + TROUBLE_S
        back_ends[0].fails = lambda: now() < end and next(count) % 5 in FAILING
        record.note(f"{back_ends[0].name} fails two of five requests for {TROUBLE_S} s")
    for number in range(ORDERS):
        orders.append(asyncio.create_task(place_order(vms, number, answers)))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*orders)
    return judge(record, back_ends, answers)


def judge(record, back_ends, answers):
    """Whether a request that ran was answered with a status that promises that it did not."""
    runs = {attempt: (back_end.name, status)
            for back_end in back_ends for _, attempt, _, status in back_end.runs}
    booked = Counter(line for back_end in back_ends for _, _, line, _ in back_end.runs)
    broken = 0
    for attempt, answer in answers:
        ran = runs.get(attempt)
        is_broken = ran is not None and answer.status in PROMISES
        broken += is_broken
        ran_text = f"ran at {ran[0]}, which answered {ran[1]}" if ran else "did not run"
        mark = "  <- promised not to have run" if is_broken else ""
        record.note(f"{attempt}: answered {answer.status}, {ran_text}{mark}", answer.sent)
    twice = sum(count > 1 for count in booked.values())
    record.note(f"{broken} requests ran and were answered with a promise; {twice} orders were booked twice")
    print(f"{broken} requests ran and were answered with a promise; {twice} orders were booked twice")
    return broken > 0


run_case(main)
