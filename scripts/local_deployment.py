"""Runs a sample deployment on loopback, sends sample requests and stops it.

Usage: local_deployment.py BUILD_FOLDER SETTINGS_FOLDER
The exit status is 0 if every request received the expected response. All child
processes are terminated before the script exits.
"""
import json
import pathlib
import shutil
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.error
import urllib.request

START_TIMEOUT_S = 60
STOP_LIMIT_S = 30


class Deployment:
    """The processes of one deployment."""

    def __init__(self, build, samples, work):
        self.build = pathlib.Path(build)
        self.folder = pathlib.Path(work) / "settings"
        self.logs = pathlib.Path(work) / "logs"
        self.logs.mkdir()
        shutil.copytree(samples, self.folder)
        (self.folder / "secret").chmod(0o600)
        self.settings = {
            path.stem: tomllib.loads(path.read_text())
            for path in sorted(self.folder.glob("*.toml"))
            if path.stem != "catalogue"
        }
        self.processes = []

    def role(self, role):
        return {name: row for name, row in self.settings.items() if row["role"] == role}

    def run(self, name, *command):
        log = open(self.logs / f"{name}.log", "w")
        process = subprocess.Popen([str(argument) for argument in command], stdout=log, stderr=log)
        self.processes.append((name, process))

    def daemon_command(self, name, *options):
        return [self.build / "acacianotchd", "--settings", self.folder / f"{name}.toml", *options]

    def start(self):
        for name in self.role("control"):
            subprocess.run(self.daemon_command(name, "--initialise"), check=True)
            self.run(name, *self.daemon_command(name))
        self.apply_catalogue()
        for name, row in self.role("agent").items():
            is_service = row["agent"]["backend_name"] in self.service_backends()
            program = "standin_service" if is_service else "standin_engine"
            self.run(f"backend-{name}", self.build / program, "--listen", row["agent"]["backend_address"])
            self.run(name, *self.daemon_command(name))
        for name in self.role("entry"):
            self.run(name, *self.daemon_command(name))
        self.wait_ready()

    def service_backends(self):
        entries = tomllib.loads((self.folder / "catalogue.toml").read_text())["entries"]
        return {entry["name"] for entry in entries
                if entry["kind"] == "backend" and entry["body"].get("service")}

    def apply_catalogue(self):
        control = ",".join(row["rpc"]["listen"] for row in self.role("control").values())
        self.client = [self.build / "acacianotchctl", "--control", control]
        subprocess.run([*self.client, "apply", self.folder / "catalogue.toml"],
                       check=True, stdout=subprocess.DEVNULL)

    def wait_ready(self):
        pending = dict(self.settings)
        deadline = time.monotonic() + START_TIMEOUT_S
        while pending:
            for name, row in list(pending.items()):
                if get(f"http://{row['admin']['listen']}/readyz")[0] == 200:
                    del pending[name]
            if time.monotonic() > deadline:
                raise RuntimeError(f"processes not ready within {START_TIMEOUT_S} s: {', '.join(pending)}")
            time.sleep(0.1)

    def stop(self):
        """Stops entries first and control last, since entries flush usage records to control on shutdown.

        Returns the names of the processes that failed to exit cleanly.
        """
        failed = []
        for group in (self.role("entry"), self.role("agent"), None):
            chosen = [row for row in self.processes if group is None or row[0] in group]
            for _, process in chosen:
                process.terminate()
            failed += [name for name, process in chosen if not wait_for_exit(process)]
            self.processes = [row for row in self.processes if row not in chosen]
        return failed


def wait_for_exit(process):
    """Waits for a process to exit, killing it on timeout; returns whether it exited with status 0."""
    try:
        return process.wait(STOP_LIMIT_S) == 0
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
        return False


def get(url):
    try:
        with urllib.request.urlopen(url, timeout=5) as reply:
            return reply.status, reply.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except OSError:
        return 0, ""


def post(entry, path, key, body, headers=None):
    request = urllib.request.Request(
        f"http://{entry}{path}", data=json.dumps(body).encode(),
        headers={"Authorization": f"Bearer {key}", "Content-Type": "application/json", **(headers or {})})
    try:
        with urllib.request.urlopen(request, timeout=30) as reply:
            return reply.status, dict(reply.headers), reply.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read().decode()


def first_entries(folder):
    entries = tomllib.loads((folder / "catalogue.toml").read_text())["entries"]
    route = next(entry["name"] for entry in entries if entry["kind"] == "route")
    service = next(entry for entry in entries if entry["kind"] == "service")
    account = next(entry["name"] for entry in entries if entry["kind"] == "account")
    return route, service, account


def send_sample_requests(deployment, name):
    """Returns the number of requests that received an unexpected response."""
    unexpected = 0
    route, service, account = first_entries(deployment.folder)
    key = f"sample-{name}-{account}-key-not-for-production"
    entries = [row["http"]["listen"] for row in deployment.role("entry").values()]
    chat_request = {"model": route, "max_tokens": 8,
                "messages": [{"role": "user", "content": "When does capoeira start?"}]}
    for entry in entries:
        status, headers, body = post(entry, "/v1/chat/completions", key, chat_request)
        unexpected += status != 200
        print(f"POST {entry}/v1/chat/completions -> {status} "
              f"on {headers.get('X-Model-Version')}: "
              f"{body[:300]}")
    status, _, body = post(entries[0], "/v1/chat/completions", key, {**chat_request, "stream": True})
    unexpected += status != 200 or "data: [DONE]" not in body
    print(f"streamed -> {status}, {body.count('data: ')} events, the last one {body.split()[-1]}")
    path = f"/v1/services/{service['name']}{service['body']['paths'][0]}"
    for entry in entries[:2]:
        status, headers, body = post(entry, path, key, {"place": "court-7", "amount": 1},
                                     {"Idempotency-Key": "demo-1"})
        unexpected += status != 200
        print(f"POST {entry}{path} with the same Idempotency-Key -> {status} "
              f"replayed={headers.get('Idempotent-Replay', 'false')}: {body}")
    return unexpected


def main():
    build, samples = sys.argv[1:3]
    with tempfile.TemporaryDirectory(prefix="acacianotch-") as work:
        deployment = Deployment(build, samples, work)
        unexpected = 1
        try:
            deployment.start()
            print(f"{len(deployment.processes)} processes are ready")
            unexpected = send_sample_requests(deployment, pathlib.Path(samples).name)
        finally:
            failed = deployment.stop()
            if failed or unexpected:
                for log in sorted(deployment.logs.glob("*.log")):
                    sys.stderr.write(f"== {log.stem}\n{log.read_text()[-1500:]}\n")
        print(f"unexpected responses: {unexpected}, processes that failed to exit cleanly: {len(failed)}")
        return 1 if failed or unexpected else 0


if __name__ == "__main__":
    sys.exit(main())
