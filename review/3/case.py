"""After the last tenant has been removed, its withdrawn key and any other key go on being accepted."""
import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import harness  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "jepu9.example"
KEY, UNKNOWN_KEY = "s989anu6wsjnbanfqasn", "neverheldbyanyconfig"
ZONES = ("lis-a", "mad-a")
REVOKE_S = 5.0
PLAYED_S = 15.0
DEADLINE_MS = 3000


async def play(site):
    record = site.record
    routes = [harness.route("affirm", "non_idempotent", "/affirm/", "affirmd", 800, DEADLINE_MS)]

    def configuration(version, tenants):
        return harness.configuration(version, routes, ["affirmd"], tenants)

    await site.store.write("op", "config", configuration(7, {"cuka620": [KEY]}))
    for number in range(4):
        await site.add_upstream(f"i-{number}", "affirmd", ZONES[number % 2], 9, lambda *_: 0.05)
    for zone in ZONES:
        await site.add_vm(f"edge-{zone}-1", zone)
    if not await site.await_ready():
        return 2
    await asyncio.sleep(3)
    answers = {KEY: [], UNKNOWN_KEY: []}
    is_over = False

    async def use(vm, key):
        caller, number = site.caller(vm), 0
        while not is_over:
            number += 1
            answers[key].append(await caller.send("POST", HOST, f"/affirm/{number}", key, DEADLINE_MS, b"affirmation",
                                                  f"Cookie: X-Affinity-Key={number}\r\n"))
            await asyncio.sleep(0.2)
        caller.close()

    users = [asyncio.create_task(use(vm, key)) for vm in site.vms for key in answers]
    await asyncio.sleep(3)
    if any(answer.status != 200 for answer in answers[KEY]):
        print("the usual traffic isn't served")
        return 2
    acknowledged = None
    if TROUBLE:
        await site.store.write("op", "config", configuration(9, {}))
        acknowledged = record.now()
        record.write("last-tenant-removed", version=9)
    await asyncio.sleep(PLAYED_S)
    is_over = True
    await asyncio.gather(*users)

    runs = {run[1]: run for upstream in site.upstreams for run in upstream.runs}
    late = [answer for answer in answers[KEY]
            if acknowledged is not None and answer.sent > acknowledged + REVOKE_S and answer.id in runs]
    unknown = [answer for answer in answers[UNKNOWN_KEY] if answer.id in runs]
    for answer in late[:2] + late[-1:]:
        print(f"{answer.id}: sent {answer.sent - acknowledged:.2f} s after the ack of the config without its key, "
              f"ran with X-Tenant '{runs[answer.id][3]}', status {answer.status}")
    record.write("verdict", runs_with_withdrawn_key=len(late), runs_with_unknown_key=len(unknown))
    print(f"{len(late)} requests ran whose key had been withdrawn over {REVOKE_S:.0f} s before they were sent, "
          f"{len(unknown)} whose key no config ever held")
    return 1 if late or unknown else 0


sys.exit(harness.run(FOLDER, play))
