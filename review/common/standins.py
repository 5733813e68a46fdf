"""Stand-ins for the parties around a front: machines, discovery, the platform and clients.

Only the standard library is used. Every listener is on 127.0.0.1 at a port that the system picks. The stand-ins follow
the operators' protocol page; where it is silent they behave like a sound server. All times in the record are seconds
since the start of the test.
"""
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
RUN = "exec target/release/yarrowspoke"  # `run` of deploy/balancer.toml


STARTED = []  # processes that this test started


class CannotRun(Exception):
    """The case could not run: neither held nor broken."""


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def line(self, text, at=None):
        at = self.now() if at is None else at
        with self.lock:
            self.file.write(f"{at:9.3f} {text}\n")
            self.file.flush()


def spawn(target, *args):
    thread = threading.Thread(target=target, args=args, daemon=True)
    thread.start()
    return thread


def listen():
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    sock.listen(512)
    return sock


def address_of(sock):
    return "127.0.0.1:%d" % sock.getsockname()[1]


def free_address(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return address_of(sock)


def read_message(sock, rest):
    """Reads one HTTP message with a stated length; returns (start line, fields, body, rest) or None at the end."""
    data = rest
    while b"\r\n\r\n" not in data:
        more = sock.recv(65536)
        if not more:
            return None
        data += more
    head, data = data.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for text in lines[1:]:
        name, _, value = text.partition(":")
        fields[name.strip().lower()] = value.strip()
    length = int(fields.get("content-length", "0"))
    while len(data) < length:
        more = sock.recv(65536)
        if not more:
            return None
        data += more
    return lines[0], fields, data[:length], data[length:]


class Server:
    """Accepts connections, each served by a thread of its own."""

    def __init__(self):
        self.listener = listen()
        self.address = address_of(self.listener)
        self.open = set()
        self.lock = threading.Lock()
        self.closed = False
        spawn(self._accept)

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.open.add(sock)
            spawn(self._run, sock)

    def _run(self, sock):
        try:
            self.serve(sock)
        except OSError:
            pass
        finally:
            with self.lock:
                self.open.discard(sock)
            sock.close()

    def stop_accepting(self):
        self.closed = True
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()

    def close_all(self):
        with self.lock:
            for sock in self.open:
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


class Machine(Server):
    """A machine: runs each request for `work` seconds and answers 200 with its own name and the request's id."""

    def __init__(self, record, name, build=41, work=0.03):
        self.record, self.name, self.build, self.work = record, name, build, work
        self.hangs = False  # takes requests and answers none
        self.runs = []  # (time of the last byte, id, class)
        super().__init__()

    def serve(self, sock):
        rest = b""
        while True:
            message = read_message(sock, rest)
            if message is None:
                return
            start, fields, body, rest = message
            at = self.record.now()
            method, target, _ = start.split(" ", 2)
            call = fields.get("x-call-id")
            if call is None:
                sock.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                continue
            self.runs.append((at, call, target.split("/")[1].split("?")[0]))
            if self.closed:
                return  # the process has ended
            self.record.line(f"machine {self.name} runs {method} {target} {call} budget {fields.get('x-budget')}", at)
            if self.hangs:
                while sock.recv(65536):
                    pass
                return
            time.sleep(self.work)
            answer = f"{self.name} {call} {target}".encode()
            report = f"X-Load-Report: mean_ms={self.work * 1000:.1f}\r\n"
            sock.sendall(f"HTTP/1.1 200 OK\r\n{report}Content-Length: {len(answer)}\r\n\r\n".encode() + answer)

    def entry(self, status="up"):
        return {"name": self.name, "address": self.address, "zone": "a", "type": "m", "group": 1, "status": status,
                "weight": 1.0, "since_ms": 0, "build": self.build}


class HostList:
    """The list that discovery tells, at one or more addresses."""

    def __init__(self, machines):
        self.index = 100
        self.entries = {m.name: m.entry() for m in machines}
        self.changes = []  # (index, entry)
        self.changed = threading.Condition()

    def whole(self):
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def change(self, entry):
        """Changes one entry; `removed` takes it off the list."""
        with self.changed:
            self.index += 1
            self.changes.append((self.index, entry))
            if entry["status"] == "removed":
                self.entries.pop(entry["name"], None)
            else:
                self.entries[entry["name"]] = entry
            self.changed.notify_all()


class Discovery(Server):
    """One address of discovery. `whole_lists`: it answers a watch with the whole list rather than with the changes."""

    def __init__(self, record, hosts, name="discovery", whole_lists=False):
        self.record, self.hosts, self.name, self.whole_lists = record, hosts, name, whole_lists
        self.calls = 0
        self.told = []  # (time, index, names in it or changed)
        super().__init__()

    def answer(self, since, hold):
        hosts = self.hosts
        until = time.monotonic() + hold
        with hosts.changed:
            while since is not None and hosts.index <= since and not self.closed:
                left = until - time.monotonic()
                if left <= 0:
                    break
                hosts.changed.wait(left)
            if since is None or since > hosts.index or self.whole_lists and hosts.index > since:
                return hosts.whole()
            newest = {}
            for index, entry in hosts.changes:
                if index > since:
                    newest[entry["name"]] = entry
            return {"index": hosts.index, "snapshot": False, "endpoints": list(newest.values())}

    def serve(self, sock):
        rest = b""
        while True:
            message = read_message(sock, rest)
            if message is None:
                return
            start, _, _, rest = message
            self.calls += 1
            target = start.split(" ")[1]
            query = dict(p.split("=") for p in target.partition("?")[2].split("&") if p)
            since = int(query["from"]) if "from" in query else None
            self.record.line(f"{self.name} is asked {target}")
            answer = self.answer(since, int(query.get("hold_ms", "0")) / 1000)
            body = json.dumps(answer).encode()
            sock.sendall(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
            at = self.record.now()
            words = [f"{e['name']}={e['status']}" for e in answer["endpoints"]]
            self.told.append((at, answer["index"], answer["snapshot"], dict(w.split("=") for w in words)))
            kind = "whole list" if answer["snapshot"] else "changes"
            self.record.line(f"{self.name} tells {kind} {answer['index']}: {' '.join(words)}", at)


class Platform(Server):
    """The platform: tells the state of the newest build, and takes votes."""

    def __init__(self, record, state="41 3 stable 1"):
        self.record, self.state, self.since = record, state, time.monotonic() - 60
        super().__init__()

    def words(self):
        return f"{self.state} {int((time.monotonic() - self.since) * 1000)}"

    def serve(self, sock):
        data = b""
        while True:
            more = sock.recv(4096)
            if not more:
                return
            data += more
            while b"\r\n" in data:
                line, data = data.split(b"\r\n", 1)
                if line == b"NOTIFY":
                    sock.sendall(f"OK\r\n* progress {self.words()}\r\n".encode())
                    spawn(self.beat, sock)
                elif line.startswith(b"BALLOT"):
                    self.record.line(f"platform gets {line.decode()}")
                    sock.sendall(f"OK {self.words()}\r\n".encode())
                else:
                    sock.sendall(b"ERR malformed\r\n")

    def beat(self, sock):
        try:
            while True:
                time.sleep(1)
                sock.sendall(b"*\r\n")
        except OSError:
            pass


def settings(me=0, fronts=3, peers=True):
    """The settings of a small deployment: the classes, limits and rules of serambi-web."""
    return {
        "Bounds": {"ConnIdleUs": 30000000, "ConnectTimeoutUs": 250000, "MaxAttempts": 4, "MaxRetryAfterUs": 2000000,
                   "MayCancel": True, "Peers": peers, "Probes": False, "RetryAfter": True, "SecondCopies": False},
        "Classes": [
            {"Name": "article", "AimUs": 600000, "DeadlineUs": 2000000, "Effect": "repeatable", "Worth": 3.0,
             "LateWorth": 0.2},
            {"Name": "section", "AimUs": 1000000, "DeadlineUs": 4000000, "Effect": "repeatable", "Worth": 2.0,
             "LateWorth": 0.2},
            {"Name": "comment", "AimUs": 1500000, "DeadlineUs": 5000000, "Effect": "once", "Worth": 2.0,
             "LateWorth": 0.0}],
        "Domain": {"VoteMode": "by_count", "AyesNeeded": 2, "ToAbort": 1, "CallTimeoutUs": 1200000, "VotesPerS": 40.0,
                   "VoteStandsUs": 10000000, "NewsPeriodUs": 2000000, "LeastStageUs": 2000000,
                   "ExposureCaps": [0.16, 0.5, 1.0, 1.0], "StageShare": [0.08, 0.25, 0.6, 1.0],
                   "ExposureWindowUs": 2000000, "SpareTries": 3.0, "Style": "replace"},
        "HostTypes": ["m"], "Localities": ["a"], "Me": me, "MembershipMode": "ask", "PeersTotal": fronts,
        "Report": {"Fields": ["mean_ms"], "Source": "answers"},
        "Safety": {"AnswerSlackUs": 20000, "AskWithinUs": 10000000, "ColdFrom": 0.36, "DrainGraceUs": 500000,
                   "FallUs": 1500000, "TipMultiple": 4.0, "WarmAfterUs": 4800000},
        "Tenants": [{"Name": "acme", "QuotaRps": 200.0, "Share": 1.0}],
        "Weights": "nominal", "Zone": 0}


class Front:
    """One real front, started as the deploy file says."""

    def __init__(self, record, discovery, platform, hosts, name="n0", front_settings=None, peers=None, operator=None):
        """`operator`: text of the operator's file, in which DIRECTORY stands for a directory of this front's own."""
        if not os.access(os.path.join(ROOT, "target/release/yarrowspoke"), os.X_OK):
            raise CannotRun("target/release/yarrowspoke is not built")
        self.record, self.name = record, name
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.listen = free_address()
        self.config = {
            "name": name, "listen": self.listen, "discovery": discovery.address, "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "rollouts": {"address": platform.address, "news": {
                "Revision": 41, "Wave": 3, "State": "stable", "MaxShare": 1.0, "AgeMs": 60000}},
            "known": hosts.whole(), "settings": front_settings or settings()}
        if peers:
            self.config.update(peers)
        self.path = os.path.join(self.dir, "config.json")
        self.write()
        environment = dict(os.environ, PROXY_NAME=name, PROXY_LISTEN=self.listen, PROXY_DISCOVERY=discovery.address,
                           PROXY_CONFIG=self.path, TMPDIR=self.dir, RUST_LOG="info")
        self.log = open(os.path.join(self.dir, "log"), "w")
        command = RUN
        if operator:
            kept = os.path.join(self.dir, "store")
            os.mkdir(kept)
            with open(os.path.join(self.dir, "operator.sexp"), "w") as file:
                file.write(operator.replace("DIRECTORY", kept))
            command += f" serve --operator {self.dir}/operator.sexp"
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)
        STARTED.append(self.process)
        record.line(f"front {name} started at {self.listen}")

    def write(self):
        temporary = self.path + ".new"
        with open(temporary, "w") as file:
            json.dump(self.config, file)
        os.replace(temporary, self.path)

    def wait_ready(self, limit=10):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun("the front ended at its start:\n" + self.log_text())
            try:
                if status(call(self.listen, "GET", "/up", None, 1)) == 200:
                    self.record.line(f"front {self.name} is ready")
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise CannotRun("the front was not ready")

    def signal(self, number):
        self.record.line(f"front {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def log_text(self):
        with open(os.path.join(self.dir, "log")) as file:
            return file.read()

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()
        text = self.log_text()
        for line in text.splitlines():
            if " WARN " in line or " ERROR " in line or "discovery" in line:
                self.record.line(f"log of front {self.name}: {line}")
        shutil.rmtree(self.dir, ignore_errors=True)


def connect(address, timeout=5):
    host, port = address.split(":")
    sock = socket.create_connection((host, int(port)), timeout=timeout)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def request_bytes(method, target, call_id, budget, body=b"", caller="acme"):
    head = f"{method} {target} HTTP/1.1\r\nHost: api.internal\r\n"
    if call_id is not None:
        cls = target.split("/")[1].split("?")[0]
        head += f"X-Call-Id: {call_id}\r\nX-Call-Class: {cls}\r\nX-Caller: {caller}\r\nX-Budget: {budget:.3f}\r\n"
    if method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def status(answer):
    return int(answer[0].split(" ")[1])


def call(address, method, target, call_id, budget, body=b"", wait=None):
    """One request on a connection of its own; returns (start line, fields, body), or raises OSError."""
    with connect(address) as sock:
        sock.sendall(request_bytes(method, target, call_id, budget, body))
        sock.settimeout(wait or budget + 5)
        message = read_message(sock, b"")
        if message is None:
            raise ConnectionResetError("closed with no answer")
        return message[:3]


def main(name, run):
    """Runs a case: `run(record, trouble)` returns the list of breaks. Exit: 1 broken, 0 held, 2 could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"case {name}, TROUBLE={int(trouble)}")

    def give_up():
        for process in STARTED:
            process.kill()
        os._exit(2)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: give_up())
    watchdog = threading.Timer(115, give_up)
    watchdog.daemon = True
    watchdog.start()
    try:
        breaks = run(record, trouble)
    except CannotRun as why:
        record.line(f"could not run: {why}")
        print(f"could not run: {why}")
        sys.exit(2)
    except Exception as why:
        record.line(f"could not run: {why!r}")
        print(f"could not run: {why!r}")
        sys.exit(2)
    for text in breaks:
        record.line(f"BROKEN: {text}")
        print(f"BROKEN: {text}")
    verdict = "broken" if breaks else "held"
    record.line(f"the rule {verdict}")
    print(f"the rule {verdict}")
    sys.exit(1 if breaks else 0)
