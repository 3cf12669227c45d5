"""The store comes back from an older copy, the VM that divides the customers' rates is restarted while it is away."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
import kit

ZONES = {"east-a": "east", "west-a": "west"}
RATE, BURST, WINDOW_S, OVERRUN, SLACK = 100, 20, 5.0, 0.1, 20
AWAY_S = 1.0
RESTART_S = 0.5
WRITTEN_AGAIN_S = 1.0
CONNECTIONS = 12
PRESSURE_PER_S = 120


class Load:
    """Sends requests of one customer to one VM on a few kept connections, at a rate that can be changed."""

    def __init__(self, record, vm, sent_at):
        self.record_, self.vm_, self.sent_at_ = record, vm, sent_at
        self.per_s_ = 0.0
        self.is_over_ = False

    async def run(self):
        await asyncio.gather(*(self.press(number) for number in range(CONNECTIONS)))

    async def press(self, number):
        client = kit.Client(self.record_, self.vm_.front_)
        count = 0
        await asyncio.sleep(number / CONNECTIONS / 10)
        while not self.is_over_:
            if self.per_s_ <= 0:
                await asyncio.sleep(0.05)
                continue
            began = self.record_.now()
            count += 1
            request = f"{self.vm_.name_}-{number}-{count}"
            self.sent_at_[request] = began
            status, _, _ = await client.request(request, "GET", "front.example", "/status/1", "key-1", deadline_ms=1500)
            pause = CONNECTIONS / max(self.per_s_, 1.0) - (self.record_.now() - began)
            await asyncio.sleep(max(min(pause, 0.2), 0.2 if status == 0 else 0))
        client.close()


def most_in_window(times):
    """Returns the largest number of times in any span of the window's length, and its start."""
    best, start, first = 0, 0.0, 0
    for last, at in enumerate(times):
        while at - times[first] >= WINDOW_S:
            first += 1
        if last - first + 1 > best:
            best, start = last - first + 1, times[first]
    return best, start


async def drill(record, store, copy, vm, config):
    """The store is away for a moment and comes back from the copy; the VM is killed and restarted meanwhile."""
    store.go_away()
    record.add("the store goes away")
    await vm.kill()
    await asyncio.sleep(RESTART_S)
    await vm.start()
    await asyncio.sleep(AWAY_S - RESTART_S)
    await store.come_back(copy)
    record.add("the store is back from the copy")
    await asyncio.sleep(WRITTEN_AGAIN_S)
    await store.write("op", "config", config)


async def case(record, folder, vms):
    store = kit.Store(record)
    config = kit.config(1, [kit.route("status", "/status/", "statusd")], ["statusd"],
                        [kit.tenant("alfa", ["key-1"], RATE, BURST)])
    await store.write("op", "config", config)
    targets = [kit.Target(record, store, f"i-{zone}-{number}", "statusd", zone, "127.0.10.1", work_s=0.01, slots=32)
               for zone in ZONES for number in range(2)]
    for target in targets:
        await target.start()
    peer_port = kit.free_port("127.0.10.11")
    for number, zone in enumerate(ZONES):
        _, address = await store.listen(f"vm-{number}", "127.0.10.1")
        vms.append(kit.Vm(record, folder, f"vm-{number}", zone, ZONES, f"127.0.10.{11 + number}", address, kit.BOUNDS,
                          peer_port))
    await asyncio.gather(*(vm.start() for vm in vms))
    await asyncio.gather(*(vm.wait_ready() for vm in vms))
    # Targets that the process doesn't know yet count as cold for coldDurationS.
    await asyncio.sleep(6)

    sent_at = {}
    east, west = (Load(record, vm, sent_at) for vm in vms)
    loads = [asyncio.create_task(load.run()) for load in (east, west)]
    east.per_s_ = PRESSURE_PER_S
    await asyncio.sleep(8)
    copy = store.copy()
    record.add("the store's copy is made; clients move from east to west")
    east.per_s_, west.per_s_ = 0, PRESSURE_PER_S
    await asyncio.sleep(6)
    if kit.TROUBLE:
        await drill(record, store, copy, vms[0], config)
    record.add("clients ask at both VMs")
    east.per_s_ = west.per_s_ = PRESSURE_PER_S
    await asyncio.sleep(18)
    for load in (east, west):
        load.is_over_ = True
    await asyncio.gather(*loads)

    allowed = (RATE * WINDOW_S + BURST) * (1 + OVERRUN) + SLACK
    times = sorted(sent_at[run[1]] for target in targets for run in target.runs_)
    most, start = most_in_window(times)
    record.add(f"at most {most} requests of alfa in {WINDOW_S} s, from {start:.1f} s on; allowed are {allowed:.0f}")
    late = most_in_window([at for at in times if at > record.now() - 10])
    record.add(f"in the last 10 s at most {late[0]} in {WINDOW_S} s")
    for value in store.rows_.get(("vms", "~quota"), (b"",))[0].decode().splitlines():
        record.add(f"plan in the store: {value}")
    return most > allowed


kit.run_case(case, pathlib.Path(__file__).resolve().parent)
