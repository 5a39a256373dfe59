"""Starts the project's programs on loopback and speaks to them.

Each machine has a loopback address of its own. Settings are the templates of
the deploy file, filled in as the deploy page says.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BOUNDS = {
    "seed-lag-s": 3, "addr-reuse-s": 2, "contact-ms": 3000, "ack-ms": 4000,
    "catch-up-s": 4, "drain-ms": 3000, "grace-s": 8, "loss-slack-ms": 200,
    "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-stretch-ms": 5000,
    "strict-revoke": False, "revoke-ms": 5000, "retry-budget-ratio": 0.9,
    "budget-window-s": 10, "budget-slack": 64, "exposure-share": 0.15,
    "exposure-slack": 30, "rollback-ms": 5000, "recovery-s": 12,
    "pass-ms": 120, "reuse-window-s": 7.8, "session-s": 5,
}


class CannotRun(Exception):
    """The case could not be played."""


def lookup(path, scopes):
    for scope in scopes:
        value = scope
        for part in path.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() \
                    and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def plain(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(plain(each) for each in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(text, scopes, key=None, last=True):
    section = re.compile(r"\{\{([#^])([^{}]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def put_section(match):
        sign, path, body = match.groups()
        value = lookup(path, scopes)
        if sign == "^":
            return render(body, scopes) if not value else ""
        if value is None or value is False:
            return ""
        if isinstance(value, (dict, list)):
            rows = list(value.items()) if isinstance(value, dict) \
                else list(enumerate(value))
            return "".join(
                render(body, [each] + scopes, name, index + 1 == len(rows))
                for index, (name, each) in enumerate(rows))
        return render(body, scopes)

    def put_value(match):
        path = match.group(1)
        as_json = path.endswith("|json")
        path = path[:-5] if as_json else path
        if path == "@":
            return str(key)
        if path == ",":
            return "" if last else ","
        value = scopes[0] if path == "." else lookup(path, scopes)
        return json.dumps(value) if as_json else plain(value)

    text = section.sub(put_section, text)
    return re.sub(r"\{\{([^{}]+)\}\}", put_value, text)


class Record:
    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def __call__(self, *words):
        line = "%8.3f  %s" % (self.now(), " ".join(str(word) for word in words))
        self.file.write(line + "\n")
        self.file.flush()


def free_ports(count):
    """Ports that are free on all loopback addresses."""
    held, ports = [], []
    while len(ports) < count:
        probe = socket.socket()
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind(("0.0.0.0", random.randint(20000, 32000)))
        held.append(probe)
        if probe.getsockname()[1] not in ports:
            ports.append(probe.getsockname()[1])
    for probe in held:
        probe.close()
    return ports


class Machine:
    def __init__(self, name, zone, ip):
        self.name, self.zone, self.ip = name, zone, ip
        self.processes = {}


class Deployment:
    def __init__(self, record):
        self.record = record
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.program = os.path.join(
            ROOT, self.roles["gateway"]["run"].split()[0])
        if not os.access(self.program, os.X_OK):
            raise CannotRun("the deploy file's build is missing")
        self.folder = tempfile.mkdtemp(prefix="review-")
        while True:
            self.front, self.ready, self.control, self.cloud, base = \
                free_ports(5)
            self.internal = [base, base + 15]
            if len({self.front, self.ready, self.control, self.cloud}
                   & set(range(base, base + 16))) == 0:
                break
        self.network = "127.%d.%d." % (random.randint(20, 120),
                                       random.randint(1, 250))
        self.machines = []
        self.seeds = []
        self.instances = []

    def add_machine(self, zone):
        number = len(self.machines) + 1
        machine = Machine("front-%s-%d" % (zone, number), zone,
                          self.network + str(number))
        self.machines.append(machine)
        return machine

    def control_address(self, machine):
        return "%s:%d" % (machine.ip, self.control)

    def values(self, machine, role, bootstrap):
        return {
            "node-name": machine.name, "role": role, "machine-class": "front",
            "serves": self.roles[role]["serves"], "ip": machine.ip,
            "zone": machine.zone, "region": "local",
            "internal-ports": self.internal, "seeds": self.seeds,
            "bootstrap": bootstrap, "counts-as-loss": True,
            "data-dir": os.path.join(self.folder, machine.name)
            if role == "control" else None,
            "discovery": "cloud", "entry": "vip", "heartbeat-ms": 1200,
            "config-mode": "highest",
            "zones": {"za": "local", "zb": "local", "zc": "local"},
            "listen": {
                "front": "%s:%d" % (machine.ip, self.front),
                "ready": "%s:%d" % (machine.ip, self.ready),
                "control": self.control_address(machine)},
            "limits": {"cpu-share": 0.45, "cpu-cores": 1, "memory-mb": 110,
                       "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 64},
            "fault-tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "cloud": {"address": "%s:%d" % (self.network + "250", self.cloud),
                      "rate-per-s": 47.0, "duties": [], "max-lag-ms": 800},
        }

    def start(self, machine, role, bootstrap=False):
        with open(os.path.join(ROOT, self.roles[role]["template"])) as file:
            settings = render(file.read(),
                              [self.values(machine, role, bootstrap)])
        if role == "control":
            os.makedirs(os.path.join(self.folder, machine.name), exist_ok=True)
        path = os.path.join(self.folder, "%s-%s.toml" % (machine.name, role))
        with open(path, "w") as file:
            file.write(settings)
        log = open(os.path.join(self.folder,
                                "%s-%s.log" % (machine.name, role)), "ab")
        words = self.roles[role]["run"].split()[1:]
        words = [path if word.startswith("/etc/") else word for word in words]
        machine.processes[role] = subprocess.Popen(
            [self.program] + words, cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=log, stderr=subprocess.STDOUT, start_new_session=True)
        log.close()
        self.record("start", role, machine.name, machine.ip,
                    "bootstrap" if bootstrap else "")

    def signal(self, machine, role, number):
        self.record("signal", signal.Signals(number).name, role, machine.name)
        machine.processes[role].send_signal(number)

    def forget_disk(self, machine):
        shutil.rmtree(os.path.join(self.folder, machine.name))

    def end(self):
        for machine in self.machines:
            for process in machine.processes.values():
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                process.wait()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def call(address, method, path, headers=None, body=b"", limit=1.0):
    """One request on a new channel; the status is 0 without an answer."""
    ip, port = address.rsplit(":", 1)
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, int(port))
        lines = ["%s %s HTTP/1.1" % (method, path)]
        fields = {"Host": address, "Content-Length": str(len(body)),
                  "Connection": "close"}
        fields.update(headers or {})
        lines += ["%s: %s" % field for field in fields.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        status, answered = await read_head(reader)
        content = await read_body(reader, answered)
        return int(status.split()[1]), answered, content

    try:
        return await asyncio.wait_for(exchange(), limit)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


class Operator:
    """Calls nodes of control as the protocol page describes."""

    def __init__(self, deployment, nodes):
        self.deployment, self.record = deployment, deployment.record
        self.nodes = nodes  # machines in the operator's list

    async def send(self, method, path, body=b""):
        """One order at one node, redirects followed twice."""
        machine = random.choice(self.nodes)
        address = self.deployment.control_address(machine)
        for _ in range(3):
            status, headers, content = await call(
                address, method, path, {"Content-Type": "application/json"},
                body)
            self.record(method, path, "at", address, "answer",
                        status or "none")
            if status != 307:
                break
            address = headers.get("location", "")[7:].split("/")[0]
        return status, content

    async def until_clear(self, method, path, body=b"", limit=20.0):
        """Sends the same order until its answer is clear."""
        pause, end = 0.1, time.monotonic() + limit
        while True:
            status, content = await self.send(method, path, body)
            if status != 0 and status < 500 and status not in (307, 408, 429):
                return status, content
            if time.monotonic() > end:
                return 0, b""
            await asyncio.sleep(pause)
            pause = min(pause * 1.5, 1.0)


def configuration(version, routes, services, tenants=None):
    document = {
        "version": version, "routes": routes, "services": services,
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}
    if tenants is not None:
        document["tenants"] = tenants
    return json.dumps(document).encode()


def route(name, prefix, kind, service, **more):
    row = {"name": name, "host": "site.example", "path-prefix": prefix,
           "kind": kind, "timeout-ms": 5000, "target-latency-ms": 1000,
           "priority": 1, "service": service, "max-attempts": 3,
           "allow-anonymous": False, "session-affinity": False}
    row.update(more)
    return row


class Platform:
    """The provider's list of engines."""

    def __init__(self, deployment):
        self.deployment = deployment

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.deployment.network + "250",
            self.deployment.cloud)

    async def serve(self, reader, writer):
        try:
            while True:
                await read_head(reader)
                body = json.dumps({"instances": self.deployment.instances,
                                   "next": None}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: "
                             b"application/json\r\nContent-Length: %d\r\n\r\n"
                             % len(body) + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def main(case, folder):
    """Plays a case: exit status 1 if the rule was broken, 0 if it held, 2 if
    the case could not run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("TROUBLE", int(trouble))
    deployment = None
    try:
        deployment = Deployment(record)
        broken = asyncio.run(
            asyncio.wait_for(case(deployment, trouble), 110))
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record("could not run:", repr(error))
        print("could not run:", repr(error))
        return 2
    finally:
        if deployment is not None:
            deployment.end()
    record("rule broken" if broken else "rule held")
    print("rule broken" if broken else "rule held")
    return 1 if broken else 0
