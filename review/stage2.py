"""What the cases 6 to 10 share: starting and ending the programs, and small stand-ins for clients, stores,
repository servers and operators. Everything listens on 127.0.0.1 at free ports and writes to a temporary folder."""
import http.client
import http.server
import json
import os
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played: exit code 2."""


class Stage:
    """One play of a case: its record, its temporary folder and the processes that it started."""

    def __init__(self, script):
        self.begun = time.monotonic()
        self.lock = threading.Lock()
        self.out = open(os.path.join(os.path.dirname(os.path.abspath(script)), "record.txt"), "w")
        self.folder = tempfile.mkdtemp(prefix="lotuslead-review-")
        self.processes = []
        self.broken = []
        self.say("trouble", "on" if TROUBLE else "off")

    def say(self, who, text):
        with self.lock:
            self.out.write("%9.3f %-12s %s\n" % (time.monotonic() - self.begun, who, text))
            self.out.flush()

    def breaks(self, text):
        self.broken.append(text)
        self.say("JUDGE", "rule broken: " + text)

    def start(self, who, command, variables=None, keep=()):
        environment = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        environment["TMPDIR"] = self.folder
        environment.update(variables or {})
        log = open(os.path.join(self.folder, who + ".log"), "a")
        process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                   stdout=log, stderr=log, start_new_session=True, pass_fds=keep)
        log.close()
        self.processes.append(process)
        self.say(who, "started as %d: %s" % (process.pid, command))
        return process

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.terminate()
        until = time.monotonic() + 6
        for process in self.processes:
            try:
                process.wait(max(0.05, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                pass
            try:  # the process group holds whatever the process has started itself
                os.killpg(process.pid, signal.SIGKILL)
            except OSError:
                pass
            process.wait()
        for where, _, names in os.walk(self.folder):
            for name in sorted(names):
                if name.endswith(".log"):
                    with open(os.path.join(where, name), errors="replace") as lines:
                        for line in lines.read().splitlines()[-60:]:
                            self.say(name, line)
        shutil.rmtree(self.folder, ignore_errors=True)


def play(script, case):
    """Runs the case and exits with 1 (the rule was broken), 0 (it held) or 2 (it could not run)."""
    stage = Stage(script)
    code = 2
    try:
        case(stage)
        code = 1 if stage.broken else 0
    except CannotRun as problem:
        stage.say("JUDGE", "could not run: %s" % problem)
    except Exception as problem:  # a fault of the case is not a broken rule
        stage.say("JUDGE", "could not run: %r" % problem)
    finally:
        stage.end()
    stage.say("JUDGE", {0: "the rule held", 1: "the rule was broken", 2: "no verdict"}[code])
    stage.out.close()
    sys.stdout.flush()
    os._exit(code)


def free_ports(count):
    held = [socket.socket() for _ in range(count)]
    for one in held:
        one.bind((HOST, 0))
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


def adjoining_ports():
    """Two free ports in a row: an instance's operator address takes the next port in turn."""
    for _ in range(200):
        first = free_ports(1)[0]
        try:
            with socket.socket() as probe:
                probe.bind((HOST, first + 1))
            return first
        except OSError:
            continue
    raise CannotRun("no two free ports in a row")


def deploy_run():
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as text:
        for line in text:
            if line.startswith("run = "):
                return line.split("=", 1)[1].strip().strip('"')
    raise CannotRun("the deploy file has no run")


def await_true(holds, seconds, what):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if holds():
            return
        time.sleep(0.02)
    raise CannotRun("not in time: " + what)


# ----- RESP -----

def read_array(stream):
    head = stream.readline()
    if not head.endswith(b"\n"):
        return None
    words = []
    for _ in range(int(head[1:])):
        size = stream.readline()
        if not size.endswith(b"\n"):
            return None
        words.append(stream.read(int(size[1:]) + 2)[:-2])
    return words


def array(*words):
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in words)


def fields_of(word):
    text = word.decode()
    return dict(one.split("=", 1) for one in text.split(",")) if text not in ("-", "") else {}


class Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True

    def handle_error(self, request, address):
        pass


def serve(handler, port=0):
    server = Server((HOST, port), handler)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


def store(stage, name, answer, port=0):
    """A store of the platform. `answer(fields)` gives (word, fields, body) for a PULL, and may take its time."""

    class Handler(socketserver.StreamRequestHandler):
        disable_nagle_algorithm = True

        def handle(self):
            guard = threading.Lock()

            def one(words):
                word, fields, body = answer({**fields_of(words[2]), "id": words[1].decode()})
                stage.say(name, "answers %s %s %s" % (words[1].decode(), word, fields))
                with guard:
                    try:
                        self.wfile.write(array(words[1], word.encode(), fields.encode(), body))
                        self.wfile.flush()
                    except (OSError, ValueError):  # the gateway has closed the connection
                        pass

            while (words := read_array(self.rfile)) is not None:
                if words[0] in (b"ECHO", b"METER"):
                    with guard:
                        self.wfile.write(array(words[1], b"yes"))
                        self.wfile.flush()
                elif words[0] == b"PULL":
                    stage.say(name, "got PULL %s %s" % (words[1].decode(), words[2].decode()))
                    threading.Thread(target=one, args=(words,), daemon=True).start()
                else:
                    stage.say(name, "got " + b" ".join(words).decode())

    return serve(Handler, port)


class Client:
    """A client of the platform's front, one connection."""

    tags = 0

    def __init__(self, port):
        self.socket = socket.create_connection((HOST, port), timeout=2)
        self.stream = self.socket.makefile("rwb")

    def call(self, kind, entity="7f3a9c21e0b4d655", block=0, family=17, patience=1500):
        Client.tags += 1
        self.trace = os.urandom(8).hex()
        fields = "trace=%s,patience=%d,entity=%s,block=%d,family=%d" % (self.trace, patience, entity, block, family)
        self.socket.settimeout(patience / 1000 + 0.5)
        self.stream.write(array(b"CALL", b"%d" % Client.tags, kind.encode(), fields.encode(), b""))
        self.stream.flush()
        return read_array(self.stream)

    def check(self):
        Client.tags += 1
        self.stream.write(array(b"CHECK", b"%d" % Client.tags, b""))
        self.stream.flush()
        return read_array(self.stream)

    def close(self):
        self.stream.close()
        self.socket.close()


def passes(port):
    try:
        client = Client(port)
        word = client.check()
        client.close()
        return word is not None and word[1] == b"PASS"
    except OSError:
        return False


# ----- agents -----

def http_call(port, method, target, body=None, timeout=6):
    """Returns (status, location, text); status 0: no answer."""
    try:
        connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
        connection.request(method, target, body)
        answer = connection.getresponse()
        text = answer.read().decode()
        connection.close()
        return answer.status, answer.getheader("Location") or "", text
    except (OSError, http.client.HTTPException):
        return 0, "", ""


class Agents:
    """Three agents with the settings of an agent's file left as they are, but where `fields` says otherwise."""

    def __init__(self, stage, **fields):
        self.stage = stage
        ports = free_ports(9)
        self.raft, self.control, self.bus = ports[:3], ports[3:6], ports[6:]
        members = [{"id": i + 1, "raft": "%s:%d" % (HOST, self.raft[i]), "control": "%s:%d" % (HOST, self.control[i])}
                   for i in range(3)]
        self.processes = [None] * 3
        for i in range(3):
            with open(self.file(i), "w") as out:
                json.dump({"id": i + 1, "folder": os.path.join(stage.folder, "agent-%d" % (i + 1)), "agents": members,
                           "program": os.path.join(ROOT, "build", "lotuslead"),
                           "bus": "%s:%d" % (HOST, self.bus[i]), **fields}, out)
            self.start(i)
        await_true(lambda: all(self.status(i).get("leader") for i in range(3)), 15, "a leader of the agents")

    def file(self, i):
        return os.path.join(self.stage.folder, "agent-%d.json" % (i + 1))

    def start(self, i):
        self.processes[i] = self.stage.start("agent-%d" % (i + 1), "exec build/lotuslead_agent " + self.file(i))

    def kill(self, i):
        self.stage.say("agent-%d" % (i + 1), "SIGKILL")
        self.processes[i].kill()
        self.processes[i].wait()

    def status(self, i):
        status, _, text = http_call(self.control[i], "GET", "/status", timeout=2)
        return json.loads(text) if status == 200 else {}

    def leader(self):
        for i in range(3):
            leader = self.status(i).get("leader")
            if leader:
                return leader - 1
        raise CannotRun("no leader")

    def ask(self, method, target, body=None, seconds=15, quiet=False):
        """As the command-line tool does: goes to the leader, and tries again while there is none."""
        until = time.monotonic() + seconds
        text = ""
        while time.monotonic() < until:
            for port in self.control:
                status, location, text = http_call(port, method, target, body)
                if status == 307:
                    port = int(location.split("/")[2].split(":")[1])
                    status, location, text = http_call(port, method, target, body)
                if status not in (0, 307, 503):
                    if not quiet:
                        self.stage.say("operator", "%s %s %s -> %d %s" % (method, target, (body or "")[:160], status, text.strip()[:200]))
                    return status, text
            time.sleep(0.1)
        raise CannotRun("%s %s: no answer, last %s" % (method, target, text))

    def put(self, key, value, quiet=False):
        return self.ask("POST", "/config", json.dumps({"do": [{"key": key, "value": value}]}), quiet=quiet)


# ----- configurations -----

def listed(name, port, kind="box"):
    zone = "office" if kind == "box" else "hub"
    return {"name": name, "address": "%s:%d" % (HOST, port), "zone": zone, "type": kind, "group": 0, "status": "up",
            "weight": 1, "since_ms": 0}


def known(stores):
    if not stores:
        return {"offset": 0, "batch": []}
    return {"offset": 1, "batch": [{"offset": 1, "topology": {"index": 1, "snapshot": True, "endpoints": stores}}]}


def configuration(listen, stores, **fields):
    """The settings of examples/gateway.json, the figures of the brief."""
    with open(os.path.join(ROOT, "examples", "gateway.json")) as text:
        result = json.load(text)
    result.update({"name": "gate-1", "listen": "%s:%d" % (HOST, listen), "known": known(stores)})
    result.pop("operator", None)
    result.update(fields)
    return result


# ----- the event bus and repository servers -----

class Bus:
    """The event bus: numbered events, read by long polls. The first event is the configuration's list."""

    def __init__(self, stage, first=1):
        self.stage, self.first, self.events = stage, first, []
        self.condition = threading.Condition()
        bus = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_):
                pass

            def do_GET(self):
                asked = dict(one.split("=") for one in self.path.split("?")[1].split("&"))
                known = int(asked["from"])
                with bus.condition:
                    bus.condition.wait_for(lambda: bus.last() > known, int(asked["hold"]) / 1000)
                    batch = [event for event in bus.events if event["offset"] > known]
                    body = json.dumps({"offset": bus.last(), "batch": batch}).encode()
                self.send_response(200)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

        self.server = serve(Handler)
        self.address = "%s:%d" % self.server.server_address

    def last(self):
        return self.first + len(self.events)

    def tell(self, event):
        with self.condition:
            event = {"offset": self.last() + 1, **event}
            self.events.append(event)
            self.condition.notify_all()
        self.stage.say("bus", "told " + json.dumps(event))
        return time.monotonic()


def repository_server(stage, name, answer):
    """A repository server, HTTP/1.1, GET with single ranges. `answer(path, fields)` gives (status, fields, body); a
    body under status 200 is cut to the range that was asked for."""

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def log_message(self, *_):
            pass

        def do_GET(self):
            status, fields, body = answer(self.path, self.headers)
            asked = self.headers.get("Range", "")
            if status == 200 and asked.startswith("bytes="):
                first, last = (int(one) for one in asked[6:].split("-"))
                if first >= len(body):
                    status, fields, body = 416, {"Content-Range": "bytes */%d" % len(body)}, b""
                else:
                    last = min(last, len(body) - 1)
                    fields = {**fields, "Content-Range": "bytes %d-%d/%d" % (first, last, len(body))}
                    status, body = 206, body[first:last + 1]
            self.send_response(status)
            for key, value in fields.items():
                self.send_header(key, value)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)
            stage.say(name, "%s %s, %s -> %d %s, %d bytes" % (self.path, asked, self.headers.get("Cache-Control", "no limit"), status, fields, len(body)))

    return serve(Handler)


class HttpCache:
    """A sound HTTP cache before an origin: it keeps a copy for up to an hour, honours no-cache and max-age, tells Age,
    and drops what was purged by itself after `settles` seconds, as the settings promise."""

    def __init__(self, origin, settles=6.0):
        self.origin, self.settles = origin, settles
        self.held, self.purges, self.lock = {}, [], threading.Lock()

    def purged(self, path):
        self.purges.append((time.monotonic(), path))

    def __call__(self, path, fields):
        limit = 3600.0
        for one in fields.get("Cache-Control", "").split(","):
            one = one.strip()
            if one == "no-cache":
                limit = -1.0
            elif one.startswith("max-age="):
                limit = min(limit, float(one[8:]))
        with self.lock:
            now = time.monotonic()
            made, answer = self.held.get(path, (None, None))
            dropped = made is not None and any(
                at > made and now - at > self.settles and name == path for at, name in self.purges)
            age = None if made is None else int(now - made)
            if made is None or dropped or age > limit:
                answer = self.origin(path, fields)
                self.held[path] = now, answer
                return answer
        return answer[0], {**answer[1], "Age": str(age)}, answer[2]


def repository_configuration(listen, stores, bus, **fields):
    with open(os.path.join(ROOT, "examples", "repository.json")) as text:
        result = json.load(text)
    result.update({"listen": "%s:%d" % (HOST, listen), "bus": bus, "known": known(stores)})
    result.update(fields)
    return result


REPOSITORY_RUN = "unset LB_CONFIG LB_DISK LB_OPERATOR; exec build/lotuslead"  # the deploy file's, with the other front on


def start_repository(stage, stores, bus, settles=None):
    """Starts a gateway with the repository front; returns its port."""
    listen = free_ports(1)[0]
    path = os.path.join(stage.folder, "repository.json")
    with open(path, "w") as out:
        content = repository_configuration(listen, stores, bus)
        if settles:
            content["settings"]["extra"]["purgeSettles"] = int(settles * 1e9)
        json.dump(content, out)
    stage.start("gateway", REPOSITORY_RUN, {"LB_REPOSITORY": path})
    await_true(lambda: accepts(listen), 10, "the gateway's port")
    return listen


def accepts(port):
    try:
        socket.create_connection((HOST, port), timeout=1).close()
        return True
    except OSError:
        return False
