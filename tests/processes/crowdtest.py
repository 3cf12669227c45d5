"""Plays crowds of clients that keep no limits against real processes on loopback addresses.

    python3 tests/processes/crowdtest.py ROW [--programs FOLDER] [--seed N] [--logs FOLDER]
    python3 tests/processes/crowdtest.py --list

A row starts the processes with lowered limits, lets a small crowd connect and send, and keeps the crowd's connections open.
It checks that the process lives, that its memory (with the bytes that wait unread in the kernel) and its open descriptors
stay under a bound, and that one ordinary request is answered beside the crowd and one after it. It checks no times and no
share of requests. Exits with 1 if a check failed, with 2 if the row could not be played.
"""
import argparse
import asyncio
import contextlib
import importlib.util
import json
import pathlib
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
MB = 1 << 20

# The machine of the VM under test, far smaller than a real one.
VM_MEMORY_MB = 40
VM_DESCRIPTORS = 256
VM_BODY_LIMIT = 64 * MB
LOWERED_BODY_LIMIT = 4 * MB
# The daemons of the product's own interface.
DAEMON_MEMORY_MB = 64
DAEMON_DESCRIPTORS = 256
DAEMON_CONNECTIONS = 16

# Longest time that a crowd takes to send, and pause after it; neither is checked.
SEND_S = 25.0
SETTLE_S = 1.0
DRIP_S = 0.5
PATIENCE_MS = 20_000
HOST = "jepu9.example"
KEY = "k1"


def load_harness():
    spec = importlib.util.spec_from_file_location("harness", ROOT / "review/standins/harness.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


async def read_body(reader, fields, on_piece=None):
    """Reads a body that has a length or comes in chunks, in time linear in its size."""
    body = bytearray()
    if fields.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(fields.get("content-length", "0")))
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return bytes(body)


harness = load_harness()
harness.read_body = read_body


class Watch:
    """Samples the memory and the descriptors of one process. The kernel keeps the peak of the resident memory."""

    def __init__(self, process):
        self.folder = pathlib.Path(f"/proc/{process.pid}")
        self.process = process
        self.peak_mb = self.peak_unread_mb = 0.0
        self.peak_descriptors = 0
        self.task = asyncio.create_task(self.run())

    async def run(self):
        while self.process.returncode is None:
            with contextlib.suppress(OSError):
                self.sample()
            await asyncio.sleep(0.1)

    def sample(self):
        status = (self.folder / "status").read_text()
        resident, highest = (int(re.search(rf"{name}:\s+(\d+) kB", status).group(1)) / 1024 for name in ("VmRSS", "VmHWM"))
        links = []
        for entry in (self.folder / "fd").iterdir():
            with contextlib.suppress(OSError):
                links.append(str(entry.readlink()))
        sockets = {link[8:-1] for link in links if link.startswith("socket:")}
        unread = 0
        for line in (self.folder / "net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[9] in sockets and fields[3] != "0A":
                unread += int(fields[4].split(":")[1], 16)
        self.peak_unread_mb = max(self.peak_unread_mb, unread / MB)
        self.peak_mb = max(self.peak_mb, highest, resident + unread / MB)
        self.peak_descriptors = max(self.peak_descriptors, len(links))

    def current_mb(self):
        return int(re.search(r"VmRSS:\s+(\d+) kB", (self.folder / "status").read_text()).group(1)) / 1024


class Client:
    """A client of a crowd: sends what it has to as fast as the other side takes it, then stays open."""

    def __init__(self, address, pieces, drips=b""):
        self.address, self.pieces, self.drips = address, pieces, drips
        self.writer = None
        self.is_refused = False

    async def run(self, stop):
        try:
            self.reader, self.writer = await asyncio.open_connection(*self.address, limit=4096)
            for piece in self.pieces:
                self.writer.write(piece)
                await self.writer.drain()
        except OSError:
            self.is_refused = True
        return self

    async def drip(self, stop):
        """Sends a byte now and then, and connects anew whenever the connection is gone."""
        position = 0
        while not stop.is_set():
            if self.writer is None or self.writer.transport.is_closing():
                position = 0
                self.is_refused = False
                await self.run(stop)
            if not self.is_refused:
                with contextlib.suppress(OSError):
                    self.writer.write(self.drips[position % len(self.drips):][:1])
                    await self.writer.drain()
                    position += 1
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(stop.wait(), DRIP_S)

    def close(self):
        if self.writer:
            self.writer.transport.abort()


async def play_crowd(clients, is_dripping):
    """Lets all clients send; returns the event that ends the ones that drip, and their tasks."""
    stop = asyncio.Event()
    tasks = [asyncio.create_task(client.drip(stop) if is_dripping else client.run(stop)) for client in clients]
    if is_dripping:
        await asyncio.sleep(SETTLE_S * 3)
    else:
        if tasks:
            await asyncio.wait(tasks, timeout=SEND_S)
        await asyncio.sleep(SETTLE_S)
    return stop, tasks


def head(method, path, fields="", key=KEY):
    authorization = f"Authorization: Bearer {key}\r\n" if key else ""
    return (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: crowd-{random.randrange(1 << 48):x}\r\n"
            f"X-Deadline-Remaining: 20000\r\n{authorization}{fields}\r\n").encode()


def chunks(size, count):
    return (f"{size:x}\r\n".encode() + b"x" * size + b"\r\n") * count


def with_length(size, withheld=1, path="/affirm/1", fields="", key=KEY, piece=0):
    """A request with a body of a length whose last bytes are withheld."""
    start = head("POST", path, f"{fields}Content-Length: {size}\r\n", key)
    body = b"x" * (size - withheld)
    step = piece or max(1, len(body))
    return [start] + [body[i:i + step] for i in range(0, len(body), step)]


def chunked(size, count, path="/affirm/1", key=KEY, chunk_head=b""):
    """A chunked request that never ends."""
    return [head("POST", path, "Transfer-Encoding: chunked\r\n", key), chunk_head or chunks(size, count)]


def many_fields(count):
    return "".join(f"f{i}: \r\n" for i in range(count))


def piecewise(data, step):
    return [data[i:i + step] for i in range(0, len(data), step)]


class VmSite:
    """One VM with stand-ins of the store and of the upstreams."""

    def __init__(self, options, row):
        self.options, self.row = options, row
        self.bodies = {}

    async def __aenter__(self):
        self.stack = contextlib.AsyncExitStack()
        try:
            return await self.start_all()
        except BaseException:
            await self.stack.aclose()
            raise

    async def start_all(self):
        folder = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.site = await self.stack.enter_async_context(harness.Deployment(folder))
        routes = [harness.route("r1", "idempotent", "/status/", "statusd", 1000, 20_000),
                  harness.route("r2", "non_idempotent", "/affirm/", "affirmd", 1000, 20_000),
                  harness.route("r3", "upload", "/docs/", "docstore", 1000, 20_000)]
        services = ["statusd", "affirmd", "docstore"]
        configuration = json.loads(harness.configuration(7, routes, services, {"c": [KEY]}, HOST))
        configuration["limits"]["bodyBytes"] = self.row.get("body_limit", VM_BODY_LIMIT)
        await self.site.store.write("op", "config", json.dumps(configuration).encode())
        for service in services:
            for number in range(2):
                upstream = await self.site.add_upstream(f"{service}-{number}", service, "lis-a", self.row.get("slots", 9),
                                                        lambda *_: 0.02)
                upstream.answer = self.answerer(upstream)
        self.vm = await self.start_vm()
        if not await self.site.await_ready(30):
            raise RuntimeError("the VM was not ready")
        await asyncio.sleep(1.0)
        return self

    async def start_vm(self):
        site = self.site
        store_address = await site.store.listen("vm", site.network.address())
        vm = harness.Vm(site.record, site.folder.name, "vm", "lis-a", site.zones, site.network.address(), site.ports,
                        store_address)
        settings = json.loads(vm.settings.read_text())
        settings["machine"] = {"memoryMb": self.row["memory_mb"], "fileDescriptors": self.row["descriptors"]}
        vm.settings.write_text(json.dumps(settings))
        vm.command = [str(self.options.programs / "ebony-vmd")]
        await vm.start()
        site.vms.append(vm)
        return vm

    def answerer(self, upstream):
        ordinary = upstream.answer

        async def answer(message, body, reader, writer):
            self.bodies[message[1].get("x-request-id", "")] = body
            if "/large" not in message[0]:
                return await ordinary(message, body, reader, writer)
            request_id = message[1].get("x-request-id", "")
            size = 3 * MB
            writer.write(f"HTTP/1.1 200 OK\r\n{upstream.fields(request_id)}X-Response-Stamp: s\r\n"
                         f"Content-Length: {size}\r\n\r\n".encode())
            for _ in range(size // 65536):
                writer.write(b"x" * 65536)
                await writer.drain()

        return answer

    def address(self, port):
        return self.vm.address, self.vm.ports[port]

    def processes(self):
        return {"vm": self.vm.process}

    async def ordinary(self):
        """Returns what is wrong with the answer to an ordinary request, if anything is."""
        answer = await self.site.caller(self.vm).send("GET", HOST, "/status/1", KEY, PATIENCE_MS)
        if answer.status != 200 or answer.body != f"answer to {answer.id}".encode():
            return f"the ordinary request got {answer.status} {answer.problem} {answer.body[:60]}"
        for port, path in (("readiness", "/ebonycove/readiness"), ("directory", "/ebonycove/resolve?region=pt-lis"),
                           ("metrics", "/metrics")):
            reply = await harness.fetch(*self.address(port), path, PATIENCE_MS / 1000)
            if not reply or reply[0] != 200:
                return f"the ordinary request at {port} got {reply}"
        return ""

    async def upload(self, is_chunked):
        """One legal upload of 64 MB; returns what is wrong, if anything is."""
        content = random.Random(7).randbytes(1 * MB)
        size = VM_BODY_LIMIT
        caller = self.site.caller(self.vm)
        await caller.connect()
        coding = "Transfer-Encoding: chunked\r\n" if is_chunked else f"Content-Length: {size}\r\n"
        start = head("POST", "/docs/1", coding)
        request_id = re.search(rb"X-Request-Id: (\S+)", start).group(1).decode()
        caller.writer.write(start)
        for _ in range(size // len(content)):
            caller.writer.write(f"{len(content):x}\r\n".encode() + content + b"\r\n" if is_chunked else content)
            await caller.writer.drain()
        if is_chunked:
            caller.writer.write(b"0\r\n\r\n")
        status, _, _ = await caller.receive()
        if status != 200 or self.bodies.get(request_id) != content * (size // len(content)):
            return f"the upload of 64 MB got {status}, {len(self.bodies.get(request_id, b''))} bytes reached the upstream"
        return ""

    async def __aexit__(self, *error):
        if self.options.logs:
            shutil.copy(self.vm.log, self.options.logs)
        await self.stack.aclose()


class DaemonSite:
    """The three daemons of one VM of the demo's fleet, with its stand-ins."""

    ROLES = ("agentd", "entryd", "steerd")

    def __init__(self, options, row):
        self.options, self.row = options, row
        self.running = []

    def start(self, program, settings):
        process = asyncio.create_subprocess_exec(
            str(self.options.programs / program), f"--settings={settings}", "--logtostderr",
            stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.DEVNULL,
            stderr=open(self.folder / f"{settings.stem}.log", "ab"))
        return process

    async def __aenter__(self):
        try:
            return await self.start_all()
        except BaseException:
            await self.__aexit__()
            raise

    async def start_all(self):
        self.holder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.holder.name)
        subprocess.run([self.options.programs / "ebony-load", "fleet", "--deployment=confirmacor",
                        f"--directory={self.folder}", "--operator_token=token"], check=True, stdout=subprocess.DEVNULL)
        vm = json.loads(next(iter(sorted(self.folder.glob("entryd-*.json")))).read_text())
        self.vm_address = vm["address"]
        self.running.append(await self.start("ebony-platform-standin", self.folder / "platform.json"))
        for settings in sorted(self.folder.glob("upstreams-*.json")):
            self.running.append(await self.start("ebony-upstream-standin", settings))
        self.ports, self.daemons = {}, {}
        for role in self.ROLES:
            path = self.folder / f"{role}-{self.vm_address}.json"
            settings = json.loads(path.read_text())
            if role != "agentd":
                settings["maxConnections"] = DAEMON_CONNECTIONS
                path.write_text(json.dumps(settings))
            self.ports |= {name: value for name, value in settings.items() if name.endswith("Port")}
            self.daemons[role] = await self.start(f"ebony-{role}", path)
        self.running += self.daemons.values()
        for port in ("operatorPort", "adminPort", "steerPort"):
            await self.await_ready(port)
        operator = [self.options.programs / "ebonyctl", f"--operator=http://{self.vm_address}:{self.ports['operatorPort']}",
                    "--token=token"]
        for command in (["apply", self.folder / "records.json"], ["keys", "create", "atlas"]):
            done = await asyncio.create_subprocess_exec(*map(str, operator + command), stdout=asyncio.subprocess.PIPE)
            text, _ = await done.communicate()
            if done.returncode:
                raise RuntimeError(f"ebonyctl {command[0]} failed: {text}")
        self.key = text.decode().split()[-1]
        for _ in range(100):
            if not await self.ordinary():
                return self
            await asyncio.sleep(0.1)
        raise RuntimeError(f"the daemons were not ready: {await self.ordinary()}")

    async def await_ready(self, port):
        for _ in range(300):
            reply = await harness.fetch(self.vm_address, self.ports[port], "/readyz")
            if reply and reply[0] == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{port} was not ready")

    def address(self, port):
        return self.vm_address, self.ports[port]

    def processes(self):
        return self.daemons

    async def request(self, port, path, fields=""):
        """Returns the status of a request on a connection of its own, or why it has none."""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.address(port)), PATIENCE_MS / 1000)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n{fields}Connection: close\r\n\r\n".encode())
            answer = await asyncio.wait_for(harness.read_head(reader), PATIENCE_MS / 1000)
            return int(answer[0].split(" ")[1]) if answer else "a closed connection"
        except (OSError, asyncio.TimeoutError) as error:
            return type(error).__name__
        finally:
            if writer:
                writer.transport.abort()

    async def ordinary(self):
        for port, path, fields in (
                ("entryPort", "/s/status/1", f"Authorization: Bearer {self.key}\r\n"),
                ("steerPort", "/v1/lookup?service=status", ""),
                ("operatorPort", "/v1/status", "Authorization: Bearer token\r\n"),
                ("adminPort", "/readyz", "")):
            status = await self.request(port, path, fields)
            if status != 200:
                return f"the ordinary request at {port} got {status}"
        return ""

    async def __aexit__(self, *error):
        if self.options.logs:
            for log in self.folder.glob("*.log"):
                shutil.copy(log, self.options.logs)
        for process in self.running:
            if process.returncode is None:
                process.kill()
                await process.wait()
        self.holder.cleanup()


def vm_row(count, pieces, port="front", **others):
    return {"site": VmSite, "port": port, "count": count, "pieces": pieces, "memory_mb": VM_MEMORY_MB,
            "descriptors": VM_DESCRIPTORS} | others


def daemon_row(count, pieces, port, **others):
    return {"site": DaemonSite, "port": port, "count": count, "pieces": pieces, "memory_mb": DAEMON_MEMORY_MB,
            "descriptors": DAEMON_DESCRIPTORS} | others


DAEMON_FIELD = b"field-with-a-name: " + b"v" * 1000 + b"\r\n"
ENTRY_HEAD = b"POST /s/status/1 HTTP/1.1\r\nHost: a\r\n"
OPERATOR_HEAD = b"POST /v1/records HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer token\r\n"
ENDLESS_HEAD = [b"GET / HTTP/1.1\r\nHost: a\r\n"] + [DAEMON_FIELD * 1000] * 120
ENDLESS_LINE = [b"GET /"] + [b"a" * MB] * 120
DRIPPED_HEAD = [b"GET / HTTP/1.1\r\nHost: a\r\nField: "]
DRIPPED_BODY = [ENTRY_HEAD + b"Content-Length: 60000\r\n\r\n"]

# The crowds and the bounds. 'pieces' is called for each client.
ROWS = {
    # Bodies.
    "vm-body-at-once": vm_row(100, lambda: with_length(520_000)),
    "vm-body-piecewise": vm_row(100, lambda: with_length(520_000, piece=8_000)),
    "vm-body-below-a-small-one": vm_row(200, lambda: with_length(260_000, withheld=1000)),
    "vm-body-large-chunks": vm_row(100, lambda: chunked(64_000, 8)),
    "vm-body-one-chunk": vm_row(100, lambda: chunked(0, 0, chunk_head=b"80000\r\n" + b"x" * 520_000)),
    "vm-body-tiny-chunks": vm_row(200, lambda: chunked(1, 150_000)),
    "vm-body-chunk-extensions": vm_row(100, lambda: chunked(0, 0, chunk_head=b"1;e=" + b"y" * 200_000)),
    "vm-body-no-route": vm_row(100, lambda: with_length(520_000, path="/nowhere/1")),
    "vm-body-no-key": vm_row(100, lambda: with_length(520_000, key="")),
    "vm-body-after-expect": vm_row(100, lambda: with_length(520_000, fields="Expect: 100-continue\r\n")),
    "vm-body-whole": vm_row(100, lambda: with_length(500_000, withheld=0)),
    "vm-body-idempotent": vm_row(100, lambda: with_length(520_000, path="/status/1")),
    "vm-body-streamed": vm_row(100, lambda: with_length(2 * MB, path="/docs/1")),
    "vm-body-deadline": vm_row(100, lambda: [piece.replace(b"Remaining: 20000", b"Remaining: 100000000000000000000")
                                             for piece in with_length(520_000)]),
    "vm-body-over-limit-announced": vm_row(
        100, lambda: [head("POST", "/affirm/1", "Content-Length: 99999999999\r\n")] + [b"x" * 65536] * 16),
    "vm-body-over-limit-sent": vm_row(
        60, lambda: [head("POST", "/docs/1", "Transfer-Encoding: chunked\r\n")] + [chunks(60_000, 1)] * 140,
        body_limit=LOWERED_BODY_LIMIT),
    # Heads.
    "vm-heads-unfinished": vm_row(200, lambda: [head("GET", "/status/1", "a: " + "v" * 15_000 + "\r\n")[:-2]]),
    "vm-heads-many-fields": vm_row(
        240, lambda: [head("POST", "/affirm/1", many_fields(1700) + "Content-Length: 9\r\n")]),
    "vm-heads-dripped": vm_row(200, lambda: [b"GET / HTTP/1.1\r\nHost: a\r\nField: "], drips=b"a"),
    # Requests behind one another, and answers that are not read.
    "vm-pipelined-bodies": vm_row(20, lambda: with_length(500_000, withheld=0, path="/status/1") * 10),
    "vm-answers-unread": vm_row(100, lambda: [head("GET", "/status/large") for _ in range(8)], slots=400),
    # Connections.
    "vm-connections-silent": vm_row(400, lambda: []),
    "vm-connections-silent-again": vm_row(400, lambda: [], drips=b"G"),
    "vm-connections-idle": vm_row(400, lambda: [head("GET", "/status/1")]),
    "vm-directory-silent": vm_row(400, lambda: [], port="directory"),
    "vm-directory-heads": vm_row(400, lambda: [b"GET / HTTP/1.1\r\nHost: a\r\nField: "], port="directory", drips=b"a"),
    "vm-readiness-silent": vm_row(400, lambda: [], port="readiness"),
    "vm-metrics-silent": vm_row(400, lambda: [], port="metrics"),
    "vm-directory-endless-head": vm_row(20, lambda: [b"GET / HTTP/1.1\r\n"] + [DAEMON_FIELD * 1000] * 5, port="directory"),
    # What a legal client sends is served.
    "vm-upload-calm": vm_row(0, lambda: [], upload=(False, True)),
    # The daemons of the product's own interface.
    "entry-connections-dripped": daemon_row(60, lambda: DRIPPED_HEAD, "entryPort", drips=b"a"),
    "entry-connections-silent": daemon_row(400, lambda: [], "entryPort", drips=b"G"),
    "entry-bodies-dripped": daemon_row(60, lambda: DRIPPED_BODY, "entryPort", drips=b"a"),
    "entry-endless-head": daemon_row(1, lambda: ENDLESS_HEAD, "entryPort"),
    "entry-endless-line": daemon_row(1, lambda: ENDLESS_LINE, "entryPort"),
    "entry-chunked-over-limit": daemon_row(
        8, lambda: [ENTRY_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"] + [chunks(MB, 1)] * 20, "entryPort"),
    "entry-tiny-chunks": daemon_row(
        8, lambda: [ENTRY_HEAD + b"Transfer-Encoding: chunked\r\n\r\n", chunks(1, 100_000)], "entryPort"),
    "entry-over-limit-announced": daemon_row(
        8, lambda: [ENTRY_HEAD + b"Content-Length: 99999999999\r\n\r\n"] + [b"x" * MB] * 20, "entryPort"),
    "entry-admin-dripped": daemon_row(60, lambda: DRIPPED_HEAD, "adminPort", drips=b"a"),
    "entry-relay-endless-head": daemon_row(1, lambda: ENDLESS_HEAD, "relayPort"),
    "steer-connections-dripped": daemon_row(60, lambda: DRIPPED_HEAD, "steerPort", drips=b"a"),
    "steer-bodies-dripped": daemon_row(
        60, lambda: [b"GET /v1/lookup?service=status HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n"], "steerPort",
        drips=b"a"),
    "steer-endless-head": daemon_row(1, lambda: ENDLESS_HEAD, "steerPort"),
    "agent-connections-dripped": daemon_row(60, lambda: DRIPPED_HEAD, "operatorPort", drips=b"a"),
    "agent-endless-head": daemon_row(1, lambda: ENDLESS_HEAD, "operatorPort"),
    "agent-records-chunked": daemon_row(
        1, lambda: [OPERATOR_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"] + [chunks(MB, 1)] * 120, "operatorPort"),
    "agent-records-over-limit-announced": daemon_row(
        1, lambda: [OPERATOR_HEAD + b"Content-Length: 125829120\r\n\r\n"] + [b"x" * MB] * 120, "operatorPort"),
    "agent-frames": daemon_row(100, lambda: [b"\x00\x10\x00\x00" + b"x" * (MB - 1)], "agentPort"),
    "agent-frames-silent": daemon_row(400, lambda: [], "agentPort"),
}


async def play(row, options):
    problems = []
    async with row["site"](options, row) as site:
        watches = {name: Watch(process) for name, process in site.processes().items()}

        def check(is_right, text):
            if not is_right:
                problems.append(text)

        for is_chunked in row.get("upload", ()):
            problem = await site.upload(is_chunked)
            check(not problem, problem)
        drips = row.get("drips", b"")
        clients = [Client(site.address(row["port"]), row["pieces"](), drips) for _ in range(row["count"])]
        stop, tasks = await play_crowd(clients, bool(drips))
        problem = await site.ordinary()
        check(not problem, f"beside the crowd: {problem}")
        closed = sum(client.writer is None or client.writer.transport.is_closing() for client in clients)
        stop.set()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for client in clients:
            client.close()
        await asyncio.sleep(SETTLE_S)
        problem = await site.ordinary()
        check(not problem, f"after the crowd: {problem}")
        for name, watch in watches.items():
            check(watch.process.returncode is None, f"{name} ended with {watch.process.returncode}")
            check(watch.peak_mb <= row["memory_mb"], f"{name} used {watch.peak_mb:.1f} MB of {row['memory_mb']}")
            check(watch.peak_descriptors <= row["descriptors"],
                  f"{name} used {watch.peak_descriptors} descriptors of {row['descriptors']}")
            after = watch.current_mb() if watch.process.returncode is None else 0
            print(f"{name}: at most {watch.peak_mb:.1f} MB ({watch.peak_unread_mb:.1f} unread at most), {after:.1f} MB after "
                  f"the crowd, at most {watch.peak_descriptors} descriptors")
            watch.task.cancel()
        print(f"{closed} of {len(clients)} clients were closed or refused")
    for text in problems:
        print(f"FAILED: {text}")
    return 1 if problems else 0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("row", nargs="?", choices=ROWS)
    parser.add_argument("--list", action="store_true")
    parser.add_argument("--programs", type=pathlib.Path, default=ROOT / "build/bin")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--logs", type=pathlib.Path, help="folder for the logs")
    options = parser.parse_args()
    if options.list or not options.row:
        print("\n".join(ROWS))
        return 0
    options.programs = options.programs.resolve()
    random.seed(options.seed)

    async def run():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await play(ROWS[options.row], options)

    try:
        return asyncio.run(run())
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        return 2


if __name__ == "__main__":
    sys.exit(main())
