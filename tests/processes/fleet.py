"""Plays a fleet of real processes in trouble and counts requests that break the bounds for retries and for leaving upstreams.

    python3 tests/processes/fleet.py SHAPE TROUBLE DISRUPTION [--seed N] [--root CHECKOUT]

SHAPE: four (services as in a fleet with four of them) or two. TROUBLE: refuse, close, fail, quiet (what upstreams do with
requests) or leave. DISRUPTION of the VMs: none, restart, pause, herd (all killed at once) or turned-away (from the store).
--root names the checkout whose target/bin/ebony-vmd is played. Exits with 1 if a bound was exceeded.
"""
import argparse
import asyncio
import bisect
import collections
import importlib.util
import pathlib
import random
import shutil
import signal
import sys
import tempfile

ZONES = {f"{region}-{half}": region for half in "ab" for region in ("r1", "r2", "r3")}
VMS_PER_ZONE = 2
# Service: (upstreams by zone, slots, work in seconds, requests per second, route's kind, objective and timeout in ms).
SHAPES = {
    "four": {"statusd": ((4, 1, 3, 4, 1, 3), 9, 0.5, 48, "idempotent", 600, 1500),
             "affirmd": ((3, 1, 2, 3, 1, 2), 5, 0.6, 15, "non_idempotent", 800, 3000),
             "docstore": ((3, 1, 2, 3, 1, 2), 3, 0.6, 6, "upload", 800, 3000),
             "archive": ((3, 1, 2, 3, 1, 2), 7, 1.5, 8, "idempotent", 2000, 6000)},
    "two": {"costeo": ((2, 6, 8, 2, 6, 8), 9, 0.25, 75, "idempotent", 300, 2500),
            "libro": ((1, 2, 3, 1, 2, 3), 4, 0.2, 30, "idempotent", 250, 1500)}}
DRAIN_S = {"four": 2.5, "two": 2.0}
RATIO, SLACK, WINDOW_S = 0.2, 64, 10.0
TROUBLE_AT_S, TROUBLE_S, LENGTH_S = 3.0, 14.0, 20.0
SHARE = {"refuse": 0.7, "close": 0.4, "fail": 0.5, "quiet": 1.0, "leave": 0.0}
STABILITY_S = 3.0
REST_S = 3.0
QUIET_FROM_S, QUIET_ALLOWED = 0.5, 2
KEY = "k1"


def load_harness(root):
    spec = importlib.util.spec_from_file_location("harness", root / "review/standins/harness.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


class Play:
    def __init__(self, harness, site, options):
        self.harness, self.site, self.options = harness, site, options
        self.shape = SHAPES[options.shape]
        self.random = random.Random(options.seed)
        self.sent = {name: [] for name in self.shape}
        self.arrivals = {name: [] for name in self.shape}
        self.vm_of = {}
        self.sent_at = {}
        self.left, self.unannounced = {}, set()
        self.told = {}
        self.untouched_until = {}
        self.rests = collections.defaultdict(list)
        self.outcomes = collections.Counter()
        self.is_trouble = self.is_over = False

    def now(self):
        return self.site.record.now()

    def make_upstream(self):
        play = self

        class Upstream(self.harness.Upstream):
            def fields(self, request_id):
                lines = super().fields(request_id)
                return lines if play.options.header else lines.replace("Server-Leaving: 1\r\n", "")

            async def answer(self, head, body, reader, writer):
                request_id = head[1].get("x-request-id", "")
                if head[1].get("x-expected-instance", self.name) == self.name:
                    play.arrivals[self.service].append((play.now(), request_id, self.name))
                kind = play.options.trouble
                if not play.is_trouble or play.random.random() >= SHARE[kind]:
                    await super().answer(head, body, reader, writer)
                    if self.is_leaving and play.options.header:
                        play.told.setdefault((play.vm_of.get(request_id), self.name), play.now())
                    return
                if kind == "close":
                    writer.transport.abort()
                    return
                rest = f"Retry-After: {REST_S:.0f}\r\n" if kind == "quiet" else ""
                if kind == "quiet":
                    play.rests[(play.vm_of.get(request_id), self.name)].append(play.now())
                line = "503 Busy\r\nX-Not-Executed: 1" if kind != "fail" else "500 Failed\r\nX-Response-Stamp: s"
                writer.write(f"HTTP/1.1 {line}\r\n{rest}{self.fields(request_id)}Content-Length: 0\r\n\r\n".encode())

        return Upstream

    async def start(self):
        routes, harness = [], self.harness
        for name, (_, _, _, _, kind, objective, timeout) in self.shape.items():
            routes.append(harness.route(name, kind, f"/{name}/", name, objective, timeout, attempts=3))
        await self.site.store.write("op", "config", harness.configuration(7, routes, list(self.shape), {"c": [KEY]}))
        harness.Upstream = self.make_upstream()
        for name, (counts, slots, work, _, _, _, _) in self.shape.items():
            for zone, count in zip(ZONES, counts):
                for number in range(count):
                    await self.site.add_upstream(f"{name}-{zone}-{number}", name, zone, slots, lambda *_, w=work: w)
        for zone in ZONES:
            for number in range(VMS_PER_ZONE):
                await self.site.add_vm(f"vm-{zone}-{number}", zone, {"drainMs": int(DRAIN_S[self.options.shape] * 1000)})
        return await self.site.await_ready(30)

    async def call(self, service, callers):
        _, _, _, _, kind, _, timeout = self.shape[service]
        running = [vm for vm in self.site.vms if vm.process.returncode is None]
        vm = self.random.choice(running or self.site.vms)
        idle = callers[vm.name]
        caller = idle.pop() if idle else self.site.caller(vm)
        number = self.harness.Caller.count + 1
        request_id = f"{self.harness.os.getpid():x}-{number:06x}"
        self.vm_of[request_id] = vm.name
        self.sent_at[request_id] = self.now()
        self.sent[service].append(self.now())
        method, body = ("GET", b"") if kind == "idempotent" else ("POST", b"content " * 100)
        cookie = f"Cookie: X-Affinity-Key={self.random.randrange(60)}\r\n"
        answer = await caller.send(method, "jepu9.example", f"/{service}/{number}", KEY, timeout, body, cookie)
        self.outcomes[answer.status or answer.problem] += 1
        if caller.writer:
            idle.append(caller)

    async def load(self, service):
        callers, tasks = collections.defaultdict(list), set()
        while not self.is_over:
            task = asyncio.create_task(self.call(service, callers))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(self.random.expovariate(self.shape[service][3] * self.options.load))
        await asyncio.gather(*tasks, return_exceptions=True)

    async def disrupt(self):
        kind, vms = self.options.disruption, self.site.vms
        if kind == "turned-away":
            for vm in vms[:3]:
                self.site.store.set_mode(vm.name, "silent")
                self.untouched_until[vm.name] = float("inf")
            await asyncio.sleep(9)
            for vm in vms[:3]:
                self.site.store.set_mode(vm.name, "up")
                self.untouched_until[vm.name] = self.now() + STABILITY_S
        while self.is_trouble and kind in ("restart", "pause", "herd"):
            chosen = vms if kind == "herd" else [self.random.choice(vms)]
            for vm in chosen:
                if vm.process.returncode is None:
                    vm.signal(signal.SIGSTOP if kind == "pause" else signal.SIGKILL)
            if kind == "pause":
                await asyncio.sleep(1.5)
            for vm in chosen:
                if kind == "pause":
                    vm.signal(signal.SIGCONT)
                else:
                    await vm.wait()
                    await vm.start()
                self.untouched_until[vm.name] = self.now() + STABILITY_S
                self.told = {pair: at for pair, at in self.told.items() if pair[0] != vm.name}
            await asyncio.sleep(self.options.gap)

    async def leave(self, upstream):
        """Leaves as planned, by a report or without one; an earlier report may be performed after that."""
        is_announced, late_by = self.random.random() < 0.7, self.random.uniform(1, 5.9)
        late = upstream.entry() if self.random.random() < self.options.late else None
        await asyncio.sleep(0.5)
        await (upstream.leave() if is_announced else upstream.leave_unannounced())
        self.left[upstream.name] = self.now()
        self.unannounced |= set() if is_announced else {upstream.name}
        await asyncio.sleep(late_by)
        if late:
            await self.site.store.write("servers", upstream.name, late)
            self.site.record.write("report-performed-late", upstream=upstream.name)
        await asyncio.sleep(max(0.0, 8.0 - late_by))
        await upstream.end()
        if upstream.state == "removed" and late:
            await self.site.store.write("servers", upstream.name, None)

    async def run(self):
        if not await self.start():
            return 2
        await asyncio.sleep(3)
        loads = [asyncio.create_task(self.load(name)) for name in self.shape]
        await asyncio.sleep(TROUBLE_AT_S)
        self.is_trouble = True
        others = [asyncio.create_task(self.disrupt())]
        if self.options.trouble == "leave":
            leaving = self.random.sample(self.site.upstreams, len(self.site.upstreams) // 3)
            for upstream in leaving:
                others.append(asyncio.create_task(self.leave(upstream)))
                await asyncio.sleep(0.3)
        await asyncio.sleep(TROUBLE_S)
        self.is_trouble = False
        await asyncio.sleep(LENGTH_S - TROUBLE_AT_S - TROUBLE_S)
        self.is_over = True
        await asyncio.gather(*others, *loads)
        return self.judge()

    def excess_of_retries(self, service):
        """Returns the most repeats beyond the allowed ones in a window, with both figures."""
        seen, repeats = set(), []
        for moment, request_id, _ in sorted(self.arrivals[service]):
            if request_id in seen:
                repeats.append(moment)
            seen.add(request_id)
        sent, worst = sorted(self.sent[service]), (float("-inf"), 0, SLACK)

        def count(times, start):
            return bisect.bisect_right(times, start + WINDOW_S) - bisect.bisect_left(times, start)

        for end in repeats:
            start = end - WINDOW_S
            requests = max(count(sent, start - shift) for shift in (0, WINDOW_S / 2, WINDOW_S))
            allowed = RATIO * requests + SLACK
            worst = max(worst, (count(repeats, start) - allowed, count(repeats, start), allowed))
        return worst

    def judge(self):
        broken = 0
        for service in self.shape:
            excess, repeats, allowed = self.excess_of_retries(service)
            broken += excess > 0
            print(f"retries {service}: {repeats} in the worst window, {allowed:.0f} allowed")
        late = noticed = rested = 0
        for arrivals in self.arrivals.values():
            for moment, request_id, name in arrivals:
                drain = DRAIN_S[self.options.shape]
                # A VM that was turned away, killed or paused shortly before need not know.
                knows = self.sent_at.get(request_id, 0) > self.untouched_until.get(self.vm_of.get(request_id), 0)
                if knows and name in self.left and moment > self.left[name] + drain:
                    late += 1
                    how = "removed" if name in self.unannounced else "draining"
                    print(f"{name}: {how} at {self.left[name]:.2f} s, {request_id} from {self.vm_of.get(request_id)} "
                          f"{moment - self.left[name]:.2f} s later")
                told = self.told.get((self.vm_of.get(request_id), name))
                noticed += told is not None and self.sent_at.get(request_id, 0) > told + drain
        of_pair = collections.defaultdict(list)
        for arrivals in self.arrivals.values():
            for moment, request_id, name in arrivals:
                of_pair[(self.vm_of.get(request_id), name)].append(moment)
        for pair, asked in self.rests.items():
            worst = max(sum(at + QUIET_FROM_S < moment < at + REST_S for moment in of_pair[pair]) for at in asked)
            rested += max(0, worst - QUIET_ALLOWED)
        print(f"leaving: {late} requests later than the drain time after the entry said so, {noticed} after an answer did; "
              f"rest: {rested} more than allowed; outcomes {dict(self.outcomes)}")
        return 1 if broken or late or noticed or rested else 0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("shape", choices=SHAPES)
    parser.add_argument("trouble", choices=SHARE)
    parser.add_argument("disruption", choices=("none", "restart", "pause", "herd", "turned-away"))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--load", type=float, default=1.0, help="factor of the requests per second")
    parser.add_argument("--gap", type=float, default=0.8, help="seconds between two disruptions of a VM")
    parser.add_argument("--late", type=float, default=0.0, help="share of leaving upstreams with a report performed late")
    parser.add_argument("--no-header", dest="header", action="store_false", help="answers don't say that upstreams leave")
    parser.add_argument("--logs", type=pathlib.Path, help="folder for the VMs' logs")
    parser.add_argument("--root", type=pathlib.Path, default=pathlib.Path(__file__).resolve().parents[2])
    options = parser.parse_args()
    harness = load_harness(options.root.resolve())
    harness.Deployment.zones = ZONES

    async def run():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        with tempfile.TemporaryDirectory() as folder:
            async with harness.Deployment(folder) as site:
                try:
                    return await Play(harness, site, options).run()
                finally:
                    for vm in site.vms if options.logs else []:
                        shutil.copy(vm.log, options.logs)
                    for vm in site.vms:
                        if vm.process and vm.process.returncode is None:
                            vm.process.send_signal(signal.SIGCONT)

    sys.exit(asyncio.run(run()))


main()
