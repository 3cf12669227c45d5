"""A planned stop of a VM cuts off uploads that wait in it for a free slot, neither answered nor run."""
import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import harness  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "jepu9.example"
KEY = "s989anu6wsjnbanfqasn"
UPSTREAMS = 2
SLOTS = 7
UPLOADS = 6
# The sheet of cfm-swaps: history queries work 3.52 s on average and 10.56 s at most, uploads 1.04 s on average.
LONG_QUERY_S = 9.0
USUAL_QUERY_S = 1.2
UPLOAD_S = 0.35
UPLOAD_DEADLINE_MS = 5000
QUERY_DEADLINE_MS = 20000
LOSS_SLACK_S = 0.2
GRACE_S = 6.0


def work(line, _fields, _body):
    if "/long" in line:
        return LONG_QUERY_S
    return USUAL_QUERY_S if "/history/" in line else UPLOAD_S


async def play(site):
    record = site.record
    routes = [harness.route("history", "idempotent", "/history/", "archive", 2000, QUERY_DEADLINE_MS),
              harness.route("docs", "upload", "/docs/", "archive", 800, UPLOAD_DEADLINE_MS)]
    await site.store.write("op", "config", harness.configuration(7, routes, ["archive"], {"cuka620": [KEY]}))
    for number in range(UPSTREAMS):
        await site.add_upstream(f"i-{number}", "archive", "lis-a" if number % 2 else "mad-a", SLOTS, work)
    vm = await site.add_vm("edge-lis-a-1", "lis-a")
    await site.add_vm("edge-mad-a-1", "mad-a")
    if not await site.await_ready():
        return 2
    await asyncio.sleep(3)

    async def upload(caller, name):
        return await caller.send("POST", HOST, f"/docs/{name}", KEY, UPLOAD_DEADLINE_MS, b"term sheet " * 1000)

    async def query(caller, name):
        return await caller.send("GET", HOST, f"/history/{name}", KEY, QUERY_DEADLINE_MS)

    # Usual traffic, on the connections that are used later on.
    uploaders = [site.caller(vm) for _ in range(UPLOADS)]
    queriers = [site.caller(vm) for _ in range(UPSTREAMS * SLOTS)]
    for turn in range(4):
        answers = await asyncio.gather(*(upload(caller, f"warm-{turn}-{n}") for n, caller in enumerate(uploaders)))
        answers += await asyncio.gather(*(query(caller, f"warm-{turn}-{n}") for n, caller in enumerate(queriers[:2])))
        if any(answer.status != 200 for answer in answers):
            print("the usual traffic isn't served")
            return 2

    # Long queries take all slots of the service.
    queries = []
    for number, caller in enumerate(queriers):
        queries.append(asyncio.create_task(query(caller, f"long-{number}")))
        await asyncio.sleep(0.05)
    stopped = record.now()
    if TROUBLE:
        vm.signal(signal.SIGTERM)
    uploads = []
    for moment, caller in zip((1.8, 1.9, 2.0, 2.1, 2.2, 2.3), uploaders):
        await asyncio.sleep(stopped + moment - record.now())
        uploads.append(asyncio.create_task(upload(caller, f"sheet-{moment}")))
    if TROUBLE:
        try:
            await asyncio.wait_for(vm.wait(), GRACE_S - 2.0)
        except asyncio.TimeoutError:
            vm.signal(signal.SIGKILL)
    answers = await asyncio.gather(*uploads)
    await asyncio.gather(*queries)

    ran = {run[1] for upstream in site.upstreams for run in upstream.runs}
    lost = [answer for answer in answers if answer.status is None and answer.problem != "deadline"
            and answer.ended - answer.sent > LOSS_SLACK_S and answer.id not in ran]
    for answer in answers:
        print(f"upload {answer.id}: sent {answer.sent - stopped:.2f} s after the stop began, "
              f"ended {answer.ended - stopped:.2f} s after it, status {answer.status}, ran: {answer.id in ran}")
    record.write("verdict", uploads=len(answers), lost=len(lost))
    print(f"{len(lost)} of {len(answers)} uploads that the VM had read ended without an answer and without a run")
    return 1 if lost else 0


sys.exit(harness.run(FOLDER, play))
