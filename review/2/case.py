"""A liveness report that the store performs late makes VMs send to an upstream that has reported that it leaves."""
import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import harness  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "jepu9.example"
KEY = "s989anu6wsjnbanfqasn"
ZONES = ("lis-a", "mad-a")
WORK_S = 0.6
DEADLINE_MS = 6000
DRAIN_S = 2.5
# A write without an answer is performed 1 to 6 s later. The store has been stable again for 3 s when it accepts the report
# that the upstream leaves.
LATE_S = 5.9
LEAVES_AFTER_S = 3.3
EXITS_AFTER_S = 4.4
LEAVING = 3
SENDS_PER_S = 24


async def play(site):
    record = site.record
    routes = [harness.route("affirm", "non_idempotent", "/affirm/", "affirmd", 800, DEADLINE_MS)]
    await site.store.write("op", "config", harness.configuration(7, routes, ["affirmd"], {"cuka620": [KEY]}))
    for number in range(6):
        await site.add_upstream(f"i-{number}", "affirmd", ZONES[number % 2], 9, lambda *_: WORK_S)
    for zone in ZONES:
        await site.add_vm(f"edge-{zone}-1", zone)
    if not await site.await_ready():
        return 2
    await asyncio.sleep(3)
    answers, is_over = [], False

    async def affirm(number):
        caller = site.caller(site.vms[number % len(site.vms)])
        answers.append(await caller.send("POST", HOST, f"/affirm/{number}", KEY, DEADLINE_MS, b"signed affirmation",
                                         f"Cookie: X-Affinity-Key={number}\r\n"))
        caller.close()

    async def traffic():
        tasks, number = [], 0
        while not is_over:
            number += 1
            tasks.append(asyncio.create_task(affirm(number)))
            await asyncio.sleep(1 / SENDS_PER_S)
        await asyncio.gather(*tasks)

    running = asyncio.create_task(traffic())
    await asyncio.sleep(2)
    if any(answer.status != 200 for answer in answers):
        print("the usual traffic isn't served")
        return 2
    late, lost = [], []

    async def leave(upstream, after_s):
        await asyncio.sleep(after_s)
        # A liveness report gets no answer and is performed late; later ones are answered.
        unanswered = upstream.entry()
        sent_at = record.now()
        record.write("report-unanswered", upstream=upstream.name, entry=unanswered.decode().replace(" ", ""))
        await asyncio.sleep(LEAVES_AFTER_S)
        await upstream.leave()
        acknowledged = record.now()
        await asyncio.sleep(sent_at + LATE_S - record.now())
        if TROUBLE:
            await site.store.write("servers", upstream.name, unanswered)
            record.write("report-performed-late", upstream=upstream.name)
        await asyncio.sleep(acknowledged + EXITS_AFTER_S - record.now())
        await upstream.end()
        await asyncio.sleep(1)
        for moment, request in upstream.arrivals:
            if moment > acknowledged + DRAIN_S:
                late.append(request)
                is_lost = request in upstream.cut
                lost.extend([request] if is_lost else [])
                print(f"{request}: reached {upstream.name} {moment - acknowledged:.2f} s after the store had accepted that "
                      f"it leaves{', cut by its exit' if is_lost else ''}")

    await asyncio.gather(*(leave(upstream, 0.6 * n) for n, upstream in enumerate(site.upstreams[:LEAVING])))
    is_over = True
    await running
    record.write("verdict", late=len(late), lost=len(lost))
    print(f"{len(late)} requests reached leaving upstreams later than drainMs; {len(lost)} runs were cut by their exit")
    return 1 if late else 0


sys.exit(harness.run(FOLDER, play))
