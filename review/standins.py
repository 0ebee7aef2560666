"""Stand-ins for the platform: stores, event bus and clients, and the start of a gateway.

Everything runs in one process on asyncio and on loopback addresses. Each case imports this file.
"""
import asyncio
import json
import logging
import os
import re
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# An address of this process's own, so that cases can run side by side.
HOST = "127.%d.%d.%d" % (100 + (os.getpid() >> 14) % 100, (os.getpid() >> 7) % 128, 1 + os.getpid() % 126)
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def bound_socket():
    """A socket at a free port, which stays taken for as long as the socket is held."""
    taken = socket.socket()
    taken.bind((HOST, 0))
    return taken, taken.getsockname()[1]


def free_port(issued=set()):
    """A free port for a program that binds it by itself; never the same one twice."""
    while True:
        taken, port = bound_socket()
        taken.close()
        if port not in issued:
            issued.add(port)
            return port


def resp(*words):
    out = [b"*%d\r\n" % len(words)]
    for word in words:
        if isinstance(word, str):
            word = word.encode()
        out.append(b"$%d\r\n%s\r\n" % (len(word), word))
    return b"".join(out)


async def read_resp(reader):
    """One array of bulk strings; None at the end of the connection."""
    head = await reader.readline()
    if not head.endswith(b"\n"):
        return None
    words = []
    for _ in range(int(head[1:])):
        size = await reader.readline()
        data = await reader.readexactly(int(size[1:]) + 2)
        words.append(data[:-2])
    return words


def fields_of(text):
    if isinstance(text, bytes):
        text = text.decode()
    return dict(one.split("=", 1) for one in text.split(",") if "=" in one)


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def __call__(self, *parts):
        self.file.write("%9.4f  %s\n" % (time.monotonic() - self.start, " ".join(str(p) for p in parts)))
        self.file.flush()


class Store:
    """A store, parent or origin: answers every PULL after `delay` seconds with a fresh copy."""

    def __init__(self, name, record, delay=0.01, size=2000):
        self.name, self.record, self.delay, self.size = name, record, delay, size
        self.socket, self.port = bound_socket()
        self.pulls = []
        self.log_pulls = True

    async def start(self):
        self.server = await asyncio.start_server(self.serve, sock=self.socket)

    async def serve(self, reader, writer):
        try:
            while (words := await read_resp(reader)) is not None:
                if words[0] == b"PULL":
                    asyncio.ensure_future(self.pull(words, writer))
                elif words[0] in (b"ECHO", b"METER"):
                    writer.write(resp(words[1], "yes", "-", b""))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def pull(self, words, writer):
        fields = fields_of(words[2])
        self.pulls.append((time.monotonic(), words[1].decode(), fields))
        if self.log_pulls:
            self.record(self.name, "run", words[1].decode(), words[2].decode())
        await asyncio.sleep(self.delay)
        if writer.is_closing():
            return
        answer = "tag=4be0c1927d55a6f3,minted=%d,remark=local,lag=0" % int(time.time() * 1000)
        writer.write(resp(words[1], "ok", answer, self.body(fields)))

    def body(self, fields):
        text = ("%s/%s of %s;" % (fields["thing"], fields["nth"], self.name)).encode()
        return (text * (self.size // len(text) + 1))[: self.size]


class Bus:
    """The event bus: numbered events, read by long polls."""

    def __init__(self, record):
        self.record, self.events = record, []
        self.socket, self.port = bound_socket()
        self.changed, self.writers = asyncio.Event(), set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, sock=self.socket)

    def tell(self, event):
        self.events.append({"offset": len(self.events) + 1, **event})
        text = json.dumps(self.events[-1])
        self.record("bus tells", text if len(text) < 1000 else text[:400] + " ... %d bytes" % len(text))
        self.changed.set()
        self.changed = asyncio.Event()

    def known(self):
        return {"offset": len(self.events), "batch": list(self.events)}

    async def send(self, writer, answer):
        writer.write(answer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                query = re.search(r"from=(\d+)&hold=(\d+)", head)
                start, hold = int(query[1]), min(int(query[2]), 5000) / 1000
                if len(self.events) <= start:
                    try:
                        await asyncio.wait_for(self.changed.wait(), hold)
                    except asyncio.TimeoutError:
                        pass
                body = json.dumps({"offset": len(self.events), "batch": self.events[start:]}).encode()
                await self.send(writer, b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                        b"Content-Length: %d\r\n\r\n" % len(body) + body)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def endpoint(store, zone, kind, status="up", since=0):
    return {"name": store.name, "address": "%s:%d" % (HOST, store.port), "zone": zone, "type": kind, "group": 0,
            "status": status, "weight": 1, "since_ms": since}


def settings(**changes):
    """As in the example of the wire page, for one office with one gateway."""
    ms = 1_000_000
    result = {
        "zone": "edge-1", "zones": ["north", "south", "edge-1"], "shapes": ["small", "large", "parent", "origin"],
        "balancers": 1, "selfIndex": 0, "tick": 2 * ms, "tier": 0, "tiers": ["seat-cache"], "weights": "silent",
        "worthBy": "request", "discovery": "pushed", "domainType": "edge", "parties": [], "overShareWorth": 0.1,
        "clients": {"marksRetry": True}, "loadInfo": {"how": "silent", "names": []},
        "categories": [
            {"name": "installer", "aim": 400 * ms, "aimStretch": 2.0, "hardLimit": 6000 * ms, "effect": "free",
             "group": "all", "value": 2.0, "lateValue": 0.15, "stream": False, "window": 5000 * ms},
            {"name": "page", "aim": 250 * ms, "aimStretch": 2.0, "hardLimit": 3000 * ms, "effect": "free",
             "group": "all", "value": 1.0, "lateValue": 0.2, "stream": False, "window": 5000 * ms},
            {"name": "checkout", "aim": 700 * ms, "hardLimit": 3000 * ms, "effect": "guarded", "group": "all",
             "value": 3.0, "lateValue": 0.0, "stream": False, "window": 3000 * ms}],
        "allowed": {"mostTries": 8, "mayCancel": True, "mayProbe": True, "retryAfter": True,
                    "maxRetryAfter": 1000 * ms, "connectTimeout": 400 * ms, "keepalive": 30000 * ms,
                    "streamsPerConn": 100, "secondCopies": False, "peerMessages": False, "maxOpen": 22064},
        "obligations": {"stopSendingWithin": 1000 * ms, "graceToAnswer": 8 * ms, "askWithin": 10000 * ms,
                        "coldFrom": 0.18, "warmWithin": 12000 * ms, "fallMultiple": 4.0, "fall": 3000 * ms},
        "extra": {"byteFee": 0.02, "direct": False, "flowKbPerS": 3700.0, "hubOf": [0, 1, 0],
                  "inParts": [True, False, False], "inletKbPerS": [0.0, 0.0, 45588.0], "instancesByZone": [0, 0, 1],
                  "joins": False, "maxAge": [0, 0, 0], "neverKept": [False, False, True], "noteLevel": "all",
                  "obeyAfter": 500 * ms, "originKind": 3, "parentBreaksAt": 2.0, "parentFloor": 0.064,
                  "parentKind": 2, "parentRamp": 21000 * ms, "purgeSettles": 6000 * ms, "rootFall": 3000 * ms,
                  "rootFallMultiple": 0.0, "siblings": "any", "staleEarns": [0.7, 0.7, 0.7], "staleFor": [0, 0, 0]},
    }
    for path, value in changes.items():
        at = result
        *before, last = path.split("__")
        for key in before:
            at = at[key]
        at[last] = value
    return result


def deploy_command(key):
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        return re.search(r'^%s\s*=\s*"(.*)"' % key, file.read(), re.M)[1]


class Gateway:
    """One gateway, started with the command `run` of the deploy file."""

    def __init__(self, folder, name, port, configuration):
        self.folder, self.name, self.port = folder, name, port
        self.file = os.path.join(folder, name + ".json")
        self.log = os.path.join(folder, name + ".log")
        self.configuration = configuration
        self.process = None

    def write(self):
        with open(self.file + ".new", "w") as file:
            json.dump(self.configuration, file)
        os.rename(self.file + ".new", self.file)

    async def start(self, socket_fd=None):
        self.write()
        meeting = os.path.join(self.folder, self.name + ".tmp")
        os.makedirs(meeting, exist_ok=True)
        environment = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        environment.update(LB_NAME=self.name, LB_LISTEN="%s:%d" % (HOST, self.port), LB_CONFIG=self.file,
                           TMPDIR=meeting)
        with open(self.log, "a") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", deploy_command("run"), cwd=ROOT, env=environment, stdout=log, stderr=log)

    async def ready(self, within=10):
        """Waits until CHECK is answered with PASS."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            if self.process.returncode is not None:
                return False
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(resp("CHECK", "1"))
                answer = await asyncio.wait_for(read_resp(reader), 1)
                writer.close()
                if answer and answer[1] == b"PASS":
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        return False

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def http(port, method, path, timeout=1.0):
    """Status and body of one HTTP call; None where no whole answer came in time."""
    async def call():
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n" % (method, path, HOST)).encode())
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        size = int(re.search(r"(?i)content-length: *(\d+)", head)[1])
        body = await reader.readexactly(size)
        writer.close()
        return int(head.split()[1]), body.decode().strip()
    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


def call_fields(patience, entity, block=0, family=17, **more):
    parts = ["trace=" + secrets.token_hex(8), "patience=%d" % patience, "entity=" + entity, "block=%d" % block,
             "family=%d" % family] + ["%s=%s" % one for one in more.items()]
    return ",".join(parts)


def run_case(folder, case):
    """Runs `case(folder, record)`, which returns True if the rule held; exits 0, 1 or 2."""
    logging.disable(logging.CRITICAL)
    here = os.path.dirname(os.path.abspath(folder))
    record = Record(here)
    temporary = tempfile.mkdtemp(prefix="review-")
    code = 2
    try:
        async def bounded():
            # Connections that are cut at the end are no news.
            loop, task = asyncio.get_running_loop(), asyncio.current_task()
            loop.set_exception_handler(lambda loop, context: None)
            for number in (signal.SIGTERM, signal.SIGINT):  # ends what was started, too
                loop.add_signal_handler(number, task.cancel)
            return await asyncio.wait_for(case(temporary, record), 115)
        held = asyncio.run(bounded())
        code = 0 if held else 1
    except (Exception, asyncio.CancelledError) as problem:  # the case could not run
        record("could not run:", repr(problem))
        import traceback
        traceback.print_exc()
    record("exit code", code)
    shutil.rmtree(temporary, ignore_errors=True)
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code], flush=True)
    os._exit(code)  # without the event loop's complaints about open connections
