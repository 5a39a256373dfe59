#!/usr/bin/env python3
"""Measures the costs of the request path and of subscriptions with real processes.

Usage: path_bench.py BUILD_FOLDER
Starts three control replicas, one entry, four agents with stand-in engines and
20 agents without one on loopback, prints JSON and stops them. Processor time
comes from /proc/PID/schedstat, so it does not include other work on the
machine. Rows that end in `_wall_us` are wall times and depend on such work.
"""
import asyncio
import hashlib
import http.client
import json
import pathlib
import random
import re
import socket
import subprocess
import sys
import tempfile
import time

TOP = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(TOP / "scripts"))
import local_deployment  # noqa: E402

ENGINES = 4
IDLE_AGENTS = 20
KEY = "path-bench-key-not-for-production"
FIRST_PORT = 24_000
LAST_PORT = 31_000
IDLE_S = 6
PATH_CALLS = 300
CLOSED_LOOP_S = 4
STREAMS = 200
STREAM_TOKENS = 120
TOKEN_DELAY_US = 40_000
# Fails a load that hangs, so that the processes stop within a minute.
LOAD_TIMEOUT_S = 15


class Ports:
    """Allocates loopback addresses that no process uses."""

    def __init__(self):
        # Below the range of ephemeral ports for outgoing connections.
        self.last = random.randrange(FIRST_PORT, LAST_PORT)

    def next(self):
        while True:
            self.last += 1
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", self.last))
                except OSError:
                    continue
                return f"127.0.0.1:{self.last}"


def table(name, **values):
    lines = [f"{key} = {json.dumps(value)}" for key, value in values.items()]
    return "\n".join([f"[{name}]", *lines, ""])


def write_settings(folder):
    """Writes the settings of all processes and the catalogue."""
    ports = Ports()
    control = [ports.next() for _ in range(3)]
    (folder / "secret").write_text("path-bench-secret-not-for-production\n")

    def write(role, name, *tables):
        head = [f'role = "{role}"', table("node", id=name, zone="a", secret_file="secret"),
                table("admin", listen=ports.next(), rpc_listen=ports.next())]
        (folder / f"{name}.toml").write_text("\n".join([*head, *tables]))

    for number, listen in enumerate(control, 1):
        peers = [f"{index}={address}" for index, address in enumerate(control, 1)]
        write("control", f"control-{number}", table("rpc", listen=listen),
              table("control", replica_id=number, peers=peers, data_folder=f"data/control-{number}"))
    write("entry", "entry-1", table("control", addresses=control), table("http", listen=ports.next()))
    backends = []
    for number in range(ENGINES + IDLE_AGENTS):
        name, listen = f"engine-{number}", ports.next()
        write("agent", f"agent-{number}", table("control", addresses=control), table("rpc", listen=listen),
              table("agent", backend_name=name, backend_address=ports.next(), slots=256))
        if number < ENGINES:
            backends.append((name, listen))
    (folder / "catalogue.toml").write_text(catalogue(backends))


def catalogue(backends):
    def entry(kind, name, **body):
        return f'[[entries]]\nkind = "{kind}"\nname = "{name}"\nowner = "bench"\n' + table("entries.body", **body)

    rows = [
        entry("class", "short", priority=0, deadline_ms=60000, long_share=1.0, quality_target=0.0),
        entry("version", "assistant@1", model="assistant", version="1", state="active",
              input_cost=1, output_cost=1, quality=0.9, grace_ms=0),
        entry("route", "assistant", candidates=["assistant"], **{"class": "short"}),
        entry("account", "bench", key_sha256=hashlib.sha256(KEY.encode()).hexdigest(),
              allowed=["assistant"], spend_limit=10**14, weight=1.0, max_in_flight=100000),
    ]
    rows += [entry("backend", name, address=address, zone="a", versions=["assistant@1"], slots=256)
             for name, address in backends]
    return "\n".join(rows)


class BenchDeployment(local_deployment.Deployment):
    """A deployment in which only the first agents have an engine."""

    def run(self, name, *words):
        if name.startswith("backend-"):
            if int(name.rsplit("-", 1)[1]) >= ENGINES:
                return
            words = (*words, "--first-token-delay-us", "0", "--token-delay-us", str(TOKEN_DELAY_US))
        super().run(name, *words)

    def wait_ready(self):
        all_settings = self.settings
        self.settings = {name: row for name, row in all_settings.items() if not idle_agent(name)}
        super().wait_ready()
        self.settings = all_settings

    def pid(self, name):
        return next(process.pid for row, process in self.processes if row == name)

    def stop_idle_agents(self):
        idle_agents = [row for row in self.processes if idle_agent(row[0])]
        for _, process in idle_agents:
            process.terminate()
        for _, process in idle_agents:
            process.wait(local_deployment.STOP_LIMIT_S)
        self.processes = [row for row in self.processes if row not in idle_agents]


def idle_agent(name):
    return name.startswith("agent-") and int(name.rsplit("-", 1)[1]) >= ENGINES


def processor_us(pid):
    return int(pathlib.Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1000


def resident_bytes(pid):
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", text).group(1)) * 1024


def socket_counts(pid):
    """Bytes and segments that a process sent and received on its open connections."""
    text = subprocess.run(["ss", "-tinpHO", "state", "established"], check=True,
                          capture_output=True, text=True).stdout
    own = "\n".join(line for line in text.splitlines() if f"pid={pid}," in line)
    return [sum(map(int, re.findall(pattern, own)))
            for pattern in (r"bytes_(?:sent|received):(\d+)", r"segs_(?:out|in):(\d+)")]


def leader(deployment):
    for name, row in deployment.role("control").items():
        _, text = local_deployment.get(f"http://{row['admin']['listen']}/dump")
        if json.loads(text).get("leader"):
            return deployment.pid(name)
    raise RuntimeError("no leader")


def measure_idle(deployment, rows):
    """Measures idle nodes; the leader's cost per node is the difference between two loads."""
    control = leader(deployment)
    nodes = [deployment.pid(f"agent-{number}") for number in range(ENGINES, ENGINES + IDLE_AGENTS)]
    entry = deployment.pid("entry-1")

    def window(pids):
        start = time.monotonic()
        before = [processor_us(pid) for pid in (control, entry, *pids)]
        sent = list(map(socket_counts, pids))
        time.sleep(IDLE_S)
        seconds = time.monotonic() - start
        after = [processor_us(pid) for pid in (control, entry, *pids)]
        sums = [sum(end[kind] - begin[kind] for begin, end in zip(sent, map(socket_counts, pids)))
                for kind in (0, 1)]
        return [(end - begin) / seconds for begin, end in zip(before, after)], sums, seconds

    many, (sent, segments), seconds = window(nodes)
    rows["idle_agent_us_per_s"] = sum(many[2:]) / len(nodes)
    rows["idle_entry_us_per_s"] = many[1]
    rows["idle_agent_bytes_per_s"] = sent / seconds / len(nodes)
    rows["idle_agent_segments_per_s"] = segments / seconds / len(nodes)
    rows["idle_agent_resident_bytes"] = sum(map(resident_bytes, nodes)) / len(nodes)
    rows["idle_entry_resident_bytes"] = resident_bytes(entry)
    rows["leader_resident_bytes"] = resident_bytes(control)
    deployment.stop_idle_agents()
    time.sleep(0.5)
    few, _, _ = window([])
    rows["leader_us_per_s_per_node"] = (many[0] - few[0]) / len(nodes)
    rows["leader_us_per_s_without_idle_nodes"] = few[0]


def body(tokens, stream):
    return json.dumps({"model": "assistant", "max_tokens": tokens, "stream": stream,
                       "messages": [{"role": "user", "content": "When does capoeira start?"}]}).encode()


HEADERS = {"Authorization": f"Bearer {KEY}", "Content-Type": "application/json", "X-Request-Id": "direct"}


def quantile(values, share):
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def measure_added_time(deployment, rows):
    """Alternates direct calls and calls through entry and agent."""
    direct = http.client.HTTPConnection(deployment.settings["agent-0"]["agent"]["backend_address"])
    routed = http.client.HTTPConnection(deployment.settings["entry-1"]["http"]["listen"])
    elapsed_us = {"direct": [], "routed": []}
    for _ in range(PATH_CALLS):
        for name, connection in (("direct", direct), ("routed", routed)):
            start = time.perf_counter()
            connection.request("POST", "/v1/chat/completions", body(1, False), HEADERS)
            reply = connection.getresponse()
            reply.read()
            elapsed_us[name].append((time.perf_counter() - start) * 1e6)
            if reply.status != 200:
                raise RuntimeError(f"{name} call: status {reply.status}")
    for share, name in ((0.5, "p50"), (0.99, "p99")):
        rows[f"direct_{name}_wall_us"] = quantile(elapsed_us["direct"], share)
        rows[f"routed_{name}_wall_us"] = quantile(elapsed_us["routed"], share)
        rows[f"added_{name}_wall_us"] = rows[f"routed_{name}_wall_us"] - rows[f"direct_{name}_wall_us"]


class Load:
    """Requests to the entry from one asyncio loop."""

    def __init__(self, deployment):
        host, port = deployment.settings["entry-1"]["http"]["listen"].split(":")
        self.address = (host, int(port))
        self.entry = deployment.pid("entry-1")
        self.agents = [deployment.pid(f"agent-{number}") for number in range(ENGINES)]
        self.control = leader(deployment)
        self.rejected = 0

    def times(self):
        return [processor_us(self.entry), sum(map(processor_us, self.agents)), processor_us(self.control)]

    async def send(self, writer, tokens, stream):
        content = body(tokens, stream)
        head = (f"POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {KEY}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n\r\n")
        writer.write(head.encode() + content)
        await writer.drain()

    async def closed_loop(self, end):
        """Returns the number of answered requests."""
        reader, writer = await asyncio.open_connection(*self.address)
        done = 0
        while time.monotonic() < end:
            await self.send(writer, 1, False)
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(re.search(rb"content-length: (\d+)", head, re.IGNORECASE).group(1))
            answer = await reader.readexactly(length)
            if b" 200 " in head.split(b"\r\n")[0]:
                done += 1
                continue
            self.rejected += 1
            sys.stderr.write(f"rejected: {head.decode()}{answer.decode()}\n")
            await asyncio.sleep(0.1)
        writer.close()
        return done

    async def stream(self):
        """Returns the number of tokens of one stream, 0 if the request is rejected."""
        reader, writer = await asyncio.open_connection(*self.address)
        await self.send(writer, STREAM_TOKENS, True)
        head = await reader.readuntil(b"\r\n\r\n")
        if b" 200 " not in head.split(b"\r\n")[0]:
            sys.stderr.write(f"rejected: {head.decode()}{(await reader.read(600)).decode()}\n")
            writer.close()
            return 0
        tokens = 0
        tail = b""
        while b"data: [DONE]" not in tail:
            data = await reader.read(65536)
            if not data:
                raise RuntimeError(f"a stream ended early after {tokens} tokens: {tail!r}")
            tokens += data.count(b'"content"')
            tail = (tail + data)[-600:]
        writer.close()
        return tokens


def measure_requests(deployment, rows):
    load = Load(deployment)

    async def run():
        end = time.monotonic() + CLOSED_LOOP_S
        return sum(await asyncio.gather(*(load.closed_loop(end) for _ in range(16))))

    before = load.times()
    done = asyncio.run(asyncio.wait_for(run(), LOAD_TIMEOUT_S))
    entry, agents, control = (end - begin for begin, end in zip(before, load.times()))
    rows["requests"] = done
    rows["rejected_requests"] = load.rejected
    rows["entry_us_per_request"] = entry / done
    rows["agent_us_per_request"] = agents / done
    rows["control_us_per_request"] = control / done
    rows["requests_per_s_on_one_entry_core"] = 1e6 * done / entry


def measure_streams(deployment, rows):
    load = Load(deployment)

    async def run():
        tasks = [asyncio.create_task(load.stream()) for _ in range(STREAMS)]
        await asyncio.sleep(STREAM_TOKENS * TOKEN_DELAY_US / 2e6)
        open_memory = memory()
        return await asyncio.gather(*tasks), open_memory

    def memory():
        return resident_bytes(load.entry), sum(map(resident_bytes, load.agents))

    closed_memory = memory()
    before = load.times()
    counts, open_memory = asyncio.run(asyncio.wait_for(run(), LOAD_TIMEOUT_S))
    entry, agents, _ = (end - begin for begin, end in zip(before, load.times()))
    tokens = sum(counts)
    accepted = sum(count > 0 for count in counts)
    rows["streamed_tokens"] = tokens
    rows["rejected_streams"] = STREAMS - accepted
    rows["entry_us_per_token"] = entry / tokens
    rows["agent_us_per_token"] = agents / tokens
    rows["tokens_per_s_on_one_entry_core"] = 1e6 * tokens / entry
    rows["entry_bytes_per_open_stream"] = (open_memory[0] - closed_memory[0]) / accepted
    rows["agent_bytes_per_open_stream"] = (open_memory[1] - closed_memory[1]) / accepted


def main():
    rows = {}
    with tempfile.TemporaryDirectory(prefix="acacianotch-") as work:
        samples = pathlib.Path(work) / "samples"
        samples.mkdir()
        write_settings(samples)
        deployment = BenchDeployment(sys.argv[1], samples, work)
        try:
            deployment.start()
            measure_idle(deployment, rows)
            measure_added_time(deployment, rows)
            measure_streams(deployment, rows)
            measure_requests(deployment, rows)
        except BaseException:
            for log in sorted(deployment.logs.glob("*.log")):
                sys.stderr.write(f"== {log.stem}\n{log.read_text()[-9000:]}\n")
            raise
        finally:
            deployment.stop()
    print(json.dumps({"program": "path_bench.py",
                      "rows": {name: round(value, 3) for name, value in rows.items()}}, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
