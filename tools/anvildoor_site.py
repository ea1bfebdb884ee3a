"""Runs a site of stand-ins and daemons on loopback for the demo and the checks."""

import hashlib
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BIN = os.path.join(ROOT, "build")
OPERATOR_TOKEN = "operator-demo-token"
PEER_SECRET = "demo-peer-secret-0123456789"
READY_SECONDS = 20
FIRST_PORT = 10000
PORTS_PER_BLOCK = 100
PORT_BLOCKS = 200


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def find_free_port_block():
    """Returns the first port of a free block, below the ephemeral port range."""
    for attempt in range(PORT_BLOCKS):
        base = FIRST_PORT + (os.getpid() + attempt) % PORT_BLOCKS * PORTS_PER_BLOCK
        try:
            for offset in range(PORTS_PER_BLOCK):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind(("127.0.0.1", base + offset))
            return base
        except OSError:
            continue
    raise RuntimeError("found no free block of ports")


def make_certificates(folder):
    """Creates a CA and one certificate for all peers; returns the TLS settings."""
    def path(name):
        return os.path.join(folder, name)

    def openssl(*arguments):
        subprocess.run(["openssl", *arguments], check=True, capture_output=True)

    openssl("req", "-x509", "-newkey", "rsa:2048", "-nodes", "-days", "2", "-subj",
            "/CN=anvildoor-authority", "-keyout", path("ca.key"), "-out", path("ca.pem"))
    openssl("req", "-newkey", "rsa:2048", "-nodes", "-subj", "/CN=anvildoor-peer",
            "-keyout", path("peer.key"), "-out", path("peer.csr"))
    with open(path("peer.ext"), "w", encoding="utf-8") as file:
        file.write("subjectAltName = DNS:anvildoor-peer\n")
    openssl("x509", "-req", "-in", path("peer.csr"), "-CA", path("ca.pem"), "-CAkey",
            path("ca.key"), "-CAcreateserial", "-days", "2", "-extfile", path("peer.ext"),
            "-out", path("peer.pem"))
    return {"tls_certificate": path("peer.pem"), "tls_key": path("peer.key"),
            "tls_authority": path("ca.pem")}


class Answer:
    """An HTTP response: status, decoded body and headers."""

    def __init__(self, status, text, headers):
        self.status = status
        self.text = text
        self.headers = headers
        try:
            self.body = json.loads(text)
        except ValueError:
            self.body = None


def call(address, method, target, body=None, token=None, key=None, timeout=40):
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    headers = {}
    if token:
        headers["Authorization"] = "Bearer " + token
    if key:
        headers["Idempotency-Key"] = key
    text = body if isinstance(body, (str, bytes)) or body is None else json.dumps(body)
    connection.request(method, target, text, headers)
    response = connection.getresponse()
    answer = Answer(response.status, response.read().decode(), dict(response.headers))
    connection.close()
    return answer


class Daemon:
    """An anvildoord process with its settings file."""

    def __init__(self, site, number, data_centre):
        self.site = site
        self.vm = f"{data_centre}-e{number}"
        self.data_centre = data_centre
        self.http = f"127.0.0.1:{site.port(10 + 2 * len(site.daemons))}"
        self.peer = f"127.0.0.1:{site.port(11 + 2 * len(site.daemons))}"
        self.process = None
        self.started = 0.0
        self.settings = os.path.join(site.folder, self.vm + ".ini")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(
                f"[node]\nvm = {self.vm}\ndata_centre = {data_centre}\n"
                f"listen_http = {self.http}\nlisten_peer = {self.peer}\n"
                f"[platform]\nstore = {site.grpc}\nvm_list = {site.grpc}\n"
                f"vm_list_period = 500ms\n"
                f"[security]\noperator_tokens = {sha256(OPERATOR_TOKEN)}\n"
                f"peer_secret = {PEER_SECRET}\n"
            )
            for key, name in site.certificates.items():
                file.write(f"{key} = {name}\n")

    def start(self):
        self.started = time.monotonic()
        log = open(os.path.join(self.site.folder, self.vm + ".log"), "ab")
        self.process = subprocess.Popen(
            [os.path.join(BIN, "anvildoord"), "--config", self.settings],
            stdout=log,
            stderr=log,
            start_new_session=True,
        )

    def wait_ready(self):
        """Waits until the daemon is ready; returns the seconds since its process started."""
        while time.monotonic() - self.started < READY_SECONDS:
            try:
                if call(self.http, "GET", "/readyz").status == 200:
                    return time.monotonic() - self.started
            except OSError:
                pass
            time.sleep(0.01)
        raise RuntimeError(f"{self.vm} is not ready after {READY_SECONDS} s")

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def terminate(self, timeout=40):
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(timeout)

    def cpu_seconds(self):
        """Returns the CPU time that the process has used."""
        with open(f"/proc/{self.process.pid}/stat", encoding="utf-8") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_mb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0


class Site:
    """A stand-in platform with the daemons of one or more data centres."""

    def __init__(self, daemons=3, data_centres=("reykjavik",), tls=False, **sizes):
        self.folder = tempfile.mkdtemp(prefix="anvildoor-")
        self.certificates = make_certificates(self.folder) if tls else {}
        self.base = find_free_port_block()
        self.grpc = f"127.0.0.1:{self.port(0)}"
        self.control = f"127.0.0.1:{self.port(1)}"
        self.data_centres = data_centres
        self.daemons = []
        for name in data_centres:
            for number in range(1, daemons + 1):
                self.daemons.append(Daemon(self, number, name))
        self.standin = None
        self.sizes = sizes

    def port(self, offset):
        return self.base + offset

    def start(self):
        arguments = [os.path.join(BIN, "anvildoor-standin")]
        arguments += ["--grpc", self.grpc, "--control", self.control]
        arguments += ["--upstream-port", str(self.port(60))]
        for name in self.data_centres:
            arguments += ["--data-centre", name]
        for daemon in self.daemons:
            arguments += ["--entry", f"{daemon.vm}={daemon.data_centre}={daemon.peer}"]
        for name, value in self.sizes.items():
            arguments += ["--" + name.replace("_", "-"), str(value)]
        log = open(os.path.join(self.folder, "standin.log"), "ab")
        self.standin = subprocess.Popen(
            arguments, stdout=log, stderr=log, start_new_session=True
        )
        begun = time.monotonic()
        while time.monotonic() - begun < READY_SECONDS:
            try:
                call(self.control, "GET", "/counts")
                break
            except OSError:
                time.sleep(0.02)
        for daemon in self.daemons:
            daemon.start()
        return [daemon.wait_ready() for daemon in self.daemons]

    def stop(self):
        for daemon in self.daemons:
            if daemon.process and daemon.process.poll() is None:
                daemon.kill()
        if self.standin and self.standin.poll() is None:
            self.standin.kill()
            self.standin.wait()

    def remove(self):
        shutil.rmtree(self.folder, ignore_errors=True)

    def counts(self):
        return call(self.control, "GET", "/counts").body

    def runs(self):
        return call(self.control, "GET", "/runs").body

    def scheduler(self, seconds=25):
        """Returns the daemon that every live daemon reports as the scheduler."""
        begun = time.monotonic()
        while time.monotonic() - begun < seconds:
            names = set()
            live = [d for d in self.daemons if d.process and d.process.poll() is None]
            for daemon in live:
                names.add(call(daemon.http, "GET", "/v1/status").body["scheduler_vm"])
            if len(names) == 1 and names != {""}:
                name = names.pop()
                found = [d for d in live if d.vm == name]
                if found:
                    return found[0]
            time.sleep(0.05)
        raise RuntimeError("the live daemons do not report a common scheduler")

    def cli(self, *arguments, token=OPERATOR_TOKEN, check=True, server=None):
        """Runs the command-line client; returns its exit status and decoded output."""
        servers = server or ",".join(d.http for d in self.daemons)
        command = [os.path.join(BIN, "anvildoor"), "--server", servers]
        command += ["--token", token, "--json", *arguments]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        if check and done.returncode != 0:
            raise RuntimeError(f"{arguments}: {done.returncode} {done.stdout}{done.stderr}")
        try:
            return done.returncode, json.loads(done.stdout)
        except ValueError:
            return done.returncode, None
