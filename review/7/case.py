"""A target's last report is performed late by the store, after the target has left, on VMs that started meanwhile."""
import asyncio
import json
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
import kit

ZONES = {"east-a": "east", "east-b": "east"}
DRAIN_S = 2.5
STABLE_S = 4.0
HEARTBEAT_S = 1.5
LATE_S = 5.9
SERVES_AFTER_DRAIN_S = 3.4
CLIENTS = 40
WORK_S = 0.3
SLOTS = 5


class LeavingTarget(kit.Target):
    """Never reports draining: its entry is removed, and it serves on for drainMs and some seconds more."""

    def __init__(self, *words, **more):
        super().__init__(*words, **more)
        self.writers_ = set()
        self.ended_at_ = None

    async def serve(self, reader, writer):
        self.writers_.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers_.discard(writer)

    async def report_with_lost_answer(self):
        """The store gives no answer to this report and performs it seconds later."""
        self.sequence_ += 1
        late = json.dumps({
            "service": self.service_, "address": f"{self.address_}:{self.port_}", "zone": self.zone_, "version": "v1",
            "slots": self.slots_, "state": "ready", "coldRemainingMs": 0, "sequence": self.sequence_,
            "born": self.born_}).encode()
        self.record_.add(f"the store gives no answer to report {self.sequence_} of {self.name_}")

        async def perform():
            await asyncio.sleep(LATE_S)
            await self.store_.write("servers", self.name_, late)
            self.record_.add(f"the store performs that report of {self.name_}")
            await asyncio.sleep(3 * HEARTBEAT_S)
            await self.store_.write("servers", self.name_, None)
            self.record_.add(f"the store removes {self.name_} after three intervals of silence")

        return asyncio.create_task(perform())

    async def leave(self):
        self.beats_.cancel()
        await self.store_.write("servers", self.name_, None)
        self.record_.add(f"ack: the entry of {self.name_} is removed")

        async def end():
            await asyncio.sleep(DRAIN_S + SERVES_AFTER_DRAIN_S)
            self.server_.close()
            for writer in list(self.writers_):
                writer.transport.abort()
            self.ended_at_ = self.record_.now()
            self.record_.add(f"target {self.name_} ends")

        return self.record_.now(), asyncio.create_task(end())


async def stop_and_start(record, vm, at):
    """Planned work at one VM: SIGTERM, and the start of the same VM again at the given time."""
    record.add(f"SIGTERM to {vm.name_}")
    vm.process_.send_signal(signal.SIGTERM)
    await vm.process_.wait()
    await asyncio.sleep(max(0, at - record.now()))
    await vm.start()
    started = record.now()
    await vm.wait_ready()
    return started


async def press(record, vm, sent_at, until):
    """Sends requests that must not be repeated, each on a connection that is kept."""
    async def one(number):
        client, count = kit.Client(record, vm.front_), 0
        await asyncio.sleep(number / CLIENTS)
        while record.now() < until:
            count += 1
            request = f"{vm.name_}-{number}-{count}"
            sent_at[request] = record.now()
            status, _, _ = await client.request(request, "POST", "front.example", "/affirm/1", body=b"trade")
            answers[request] = status
            await asyncio.sleep(0.6)
        client.close()

    answers = {}
    await asyncio.gather(*(one(number) for number in range(CLIENTS)))
    return answers


async def case(record, folder, vms):
    store = kit.Store(record)
    await store.write("op", "config", kit.config(1, [kit.route("affirm", "/affirm/", "affirmd", "non_idempotent")],
                                                 ["affirmd"]))
    leaving = LeavingTarget(record, store, "i-leaves", "affirmd", "east-a", "127.0.9.1", work_s=WORK_S, slots=SLOTS)
    targets = [leaving] + [kit.Target(record, store, f"i-{number}", "affirmd", "east-a", "127.0.9.1", work_s=WORK_S,
                                      slots=SLOTS) for number in range(2)]
    for target in targets:
        await target.start(HEARTBEAT_S)
    peer_port = kit.free_port("127.0.9.11")
    for number, zone in enumerate(ZONES):
        _, address = await store.listen(f"vm-{number}", "127.0.9.1")
        vms.append(kit.Vm(record, folder, f"vm-{number}", zone, ZONES, f"127.0.9.{11 + number}", address, kit.BOUNDS,
                          peer_port))
    await asyncio.gather(*(vm.start() for vm in vms))
    await asyncio.gather(*(vm.wait_ready() for vm in vms))
    # Targets that the process doesn't know yet count as cold for coldDurationS.
    await asyncio.sleep(5)

    began = record.now()
    late = await leaving.report_with_lost_answer() if kit.TROUBLE else None
    leaves_at = began + STABLE_S + 0.1
    restart = asyncio.create_task(stop_and_start(record, vms[0], leaves_at + 0.3))
    await asyncio.sleep(leaves_at - record.now())
    acked, end = await leaving.leave()
    started = await restart
    in_touch_from = started + STABLE_S

    sent_at = {}
    answers = await press(record, vms[0], sent_at, acked + DRAIN_S + SERVES_AFTER_DRAIN_S + 0.5)
    await end
    if late:
        await late
    broken = [run for run in leaving.runs_ if run[1] in sent_at and run[0] > acked + DRAIN_S
              and sent_at[run[1]] > in_touch_from]
    cut = [run[1] for run in broken if answers.get(run[1]) != 200]
    record.add(f"{len(broken)} requests reached i-leaves later than {DRAIN_S} s after the ack, from a VM in touch")
    if broken:
        record.add(f"they came {broken[0][0] - acked:.2f} to {broken[-1][0] - acked:.2f} s after the ack; "
                   f"{len(cut)} have run there and got {sorted({answers.get(one) for one in cut})}")
    if 200 not in answers.values():
        raise RuntimeError("no request is served")
    return bool(broken)


kit.run_case(case, pathlib.Path(__file__).resolve().parent)
