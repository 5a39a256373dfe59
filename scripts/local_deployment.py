"""Runs a sample deployment on loopback, sends it requests and ends it again.

Usage: local_deployment.py BUILD_FOLDER SETTINGS_FOLDER
The exit status is 0 if every request was answered as expected. All processes
that this script starts have ended when it returns.
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

START_LIMIT_S = 60
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

    def run(self, name, *words):
        log = open(self.logs / f"{name}.log", "w")
        process = subprocess.Popen([str(word) for word in words], stdout=log, stderr=log)
        self.processes.append((name, process))

    def daemon(self, name, *words):
        return [self.build / "acacianotchd", "--settings", self.folder / f"{name}.toml", *words]

    def start(self):
        for name in self.role("control"):
            subprocess.run(self.daemon(name, "--initialise"), check=True)
            self.run(name, *self.daemon(name))
        self.apply_catalogue()
        for name, row in self.role("agent").items():
            plain = row["agent"]["backend_name"] in self.plain_backends()
            program = "standin_service" if plain else "standin_engine"
            self.run(f"backend-{name}", self.build / program, "--listen", row["agent"]["backend_address"])
            self.run(name, *self.daemon(name))
        for name in self.role("entry"):
            self.run(name, *self.daemon(name))
        self.wait_ready()

    def plain_backends(self):
        entries = tomllib.loads((self.folder / "catalogue.toml").read_text())["entries"]
        return {entry["name"] for entry in entries
                if entry["kind"] == "backend" and entry["body"].get("service")}

    def apply_catalogue(self):
        control = ",".join(row["rpc"]["listen"] for row in self.role("control").values())
        self.client = [self.build / "acacianotchctl", "--control", control]
        subprocess.run([*self.client, "apply", self.folder / "catalogue.toml"],
                       check=True, stdout=subprocess.DEVNULL)

    def wait_ready(self):
        waiting = dict(self.settings)
        end = time.monotonic() + START_LIMIT_S
        while waiting:
            for name, row in list(waiting.items()):
                if get(f"http://{row['admin']['listen']}/readyz")[0] == 200:
                    del waiting[name]
            if time.monotonic() > end:
                raise RuntimeError(f"not ready: {', '.join(waiting)}")
            time.sleep(0.1)

    def stop(self):
        """Ends entries first and control last, since entries hand over usage."""
        failed = []
        for group in (self.role("entry"), self.role("agent"), None):
            chosen = [row for row in self.processes if group is None or row[0] in group]
            for _, process in chosen:
                process.terminate()
            failed += [name for name, process in chosen if not ended(process)]
            self.processes = [row for row in self.processes if row not in chosen]
        return failed


def ended(process):
    """Waits for the end of a process; returns whether it ended well."""
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


def first_route(folder):
    entries = tomllib.loads((folder / "catalogue.toml").read_text())["entries"]
    route = next(entry["name"] for entry in entries if entry["kind"] == "route")
    service = next(entry for entry in entries if entry["kind"] == "service")
    account = next(entry["name"] for entry in entries if entry["kind"] == "account")
    return route, service, account


def show_requests(deployment, name):
    """Returns the number of requests that were not answered as expected."""
    wrong = 0
    route, service, account = first_route(deployment.folder)
    key = f"sample-{name}-{account}-key-not-for-production"
    entries = [row["http"]["listen"] for row in deployment.role("entry").values()]
    question = {"model": route, "max_tokens": 8,
                "messages": [{"role": "user", "content": "When does capoeira start?"}]}
    for entry in entries:
        status, headers, body = post(entry, "/v1/chat/completions", key, question)
        wrong += status != 200
        print(f"POST {entry}/v1/chat/completions -> {status} "
              f"on {headers.get('X-Model-Version')}: "
              f"{body[:300]}")
    status, _, body = post(entries[0], "/v1/chat/completions", key, {**question, "stream": True})
    wrong += status != 200 or "data: [DONE]" not in body
    print(f"streamed -> {status}, {body.count('data: ')} events, the last one {body.split()[-1]}")
    path = f"/v1/services/{service['name']}{service['body']['paths'][0]}"
    for entry in entries[:2]:
        status, headers, body = post(entry, path, key, {"place": "court-7", "amount": 1},
                                     {"Idempotency-Key": "demo-1"})
        wrong += status != 200
        print(f"POST {entry}{path} with the same Idempotency-Key -> {status} "
              f"replayed={headers.get('Idempotent-Replay', 'false')}: {body}")
    return wrong


def main():
    build, samples = sys.argv[1:3]
    with tempfile.TemporaryDirectory(prefix="acacianotch-") as work:
        deployment = Deployment(build, samples, work)
        wrong = 1
        try:
            deployment.start()
            print(f"{len(deployment.processes)} processes are ready")
            wrong = show_requests(deployment, pathlib.Path(samples).name)
        finally:
            failed = deployment.stop()
            if failed or wrong:
                for log in sorted(deployment.logs.glob("*.log")):
                    sys.stderr.write(f"== {log.stem}\n{log.read_text()[-1500:]}\n")
        print(f"wrong answers: {wrong}, processes with a failed exit: {len(failed)}")
        return 1 if failed or wrong else 0


if __name__ == "__main__":
    sys.exit(main())
