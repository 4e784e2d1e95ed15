"""Starts the project's programs and small stand-ins on loopback addresses.

Only the standard library is used. The programs are started with the commands
of deploy/system.toml, each on a loopback address of its own and with a
settings file like that of a small deployment.
"""

import http.client
import http.server
import json
import os
from pathlib import Path
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = Path(__file__).resolve().parents[2]
LIB = Path(__file__).resolve().parent
HOST = 'jobs.example'
CONTROL, FRONT, READY, FRAMES, WORKER, PLATFORM, ADVICE = (
    8623, 8624, 8622, 7060, 8586, 8621, 8620)
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# Bounds of the small deployments (SYSTEM.md).
RECOVERY_S = 12.0
FINISH_S = 14.0


def find_prefix():
    """Return the first three numbers of loopback addresses that are free."""
    for step in range(200):
        number = (os.getpid() + step * 37) % 40000
        prefix = f'127.{60 + number // 250}.{1 + number % 250}'
        try:
            for last in (11, 12, 13, 31):
                for port in (CONTROL, FRONT, READY, FRAMES, 9464):
                    with socket.socket() as sock:
                        sock.bind((f'{prefix}.{last}', port))
            return prefix
        except OSError:
            continue
    raise OSError('no free loopback addresses')


class Record:
    """The file record.txt: what was sent, answered and run, with times."""

    def __init__(self, path):
        self.path = Path(path)
        self.path.write_text('')
        self.began = time.monotonic()
        self._lock = threading.Lock()

    def add(self, text):
        line = f'{time.monotonic() - self.began:8.3f} {text}\n'
        with self._lock, self.path.open('a') as file:
            file.write(line)

    def read_worker_events(self):
        """Return the lines that worker processes wrote."""
        return [line for line in self.path.read_text().splitlines()
                if ' worker ' in line]


class Process:
    """A program of the project on a machine."""

    def __init__(self, name, role, ip, number):
        self.name, self.role, self.ip = name, role, ip
        self.zone = 'abc'[number % 3]
        self.popen = None

    def is_running(self):
        return self.popen is not None and self.popen.poll() is None


class Deployment:
    """Cores, fronts and worker machines, with the platform's API.

    :param workers: number of machines with a worker in the pool ``lots``.
    """

    def __init__(self, record, *, workers=6, fronts=1, advisor=None,
                 worker_args=()):
        self.record = record
        # The processes are ended also if this one is told to stop.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.prefix = find_prefix()
        self.cores = [Process(f'core-{n}', 'core', f'{self.prefix}.{11 + n}',
                              n) for n in range(3)]
        self.fronts = [Process(f'front-{n}', 'front',
                               f'{self.prefix}.{31 + n}', n)
                       for n in range(fronts)]
        self.platform_address = f'{self.prefix}.2'
        self.worker_args = list(worker_args)
        # By machine, the process of its worker and the worker's id.
        self.machines = {f'm-{n}': None for n in range(workers)}
        self.lives = 0
        self.advisor = advisor
        self._servers = []

    def start(self):
        self._serve(self.platform_address, PLATFORM, _make_platform(self))
        if self.advisor:
            self._serve(self.platform_address, ADVICE,
                        _make_advisor(self.advisor, self.record))
        for process in (*self.cores, *self.fronts):
            self.start_program(process, bootstrap=True)

    def _serve(self, host, port, handler):
        server = http.server.ThreadingHTTPServer((host, port), handler)
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self._servers.append(server)

    def start_program(self, process, *, bootstrap=False):
        path = self.folder / f'{process.name}.toml'
        seeds = [f'{core.ip}:{CONTROL}' for core in self.cores]
        listen = f'control = "{process.ip}:{CONTROL}"'
        if process.role == 'front':
            listen = (f'front = "{process.ip}:{FRONT}"\n'
                      f'ready = "{process.ip}:{READY}"')
        data = self.folder / process.name
        advice = ''
        if self.advisor:
            advice = f'advice = "{self.platform_address}:{ADVICE}"\n'
        path.write_text(f'''
node = "{process.name}"
role = "{process.role}"
machineClass = "{process.role}"
ip = "{process.ip}"
zone = "addis-{process.zone}"
region = "addis"
internalPortRange = [{FRAMES}, {FRAMES + 15}]
seeds = {json.dumps(seeds)}
bootstrap = {str(bootstrap).lower()}
countsAsLoss = {str(process.role == 'core').lower()}
dataDirectory = "{data if process.role == 'core' else ''}"
heartbeatMs = 1500
config_mode = "highest"
orders = "push"
{advice}[listenAddresses]
{listen}
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
graceS = 6
contactMs = 3000
recoveryS = 12
maxHoldMs = 10000
stopTimeoutMs = 400
remoteSlowdown = 1.5
restoreMs = 100
leaseMs = 3000
[cloudApi]
address = "{self.platform_address}:{PLATFORM}"
ratePerS = 64.0
dutyPerS = 64.0
''')
        env = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG')
               if name in os.environ}
        env.update(GALENAREEL_NODE_FILE=str(path), GEVENT_RESOLVER='block',
                   PYTHONPATH=str(ROOT / 'target' / 'deps'))
        log = (self.folder / f'{process.name}.log').open('ab')
        process.popen = subprocess.Popen(
            _read_command(process.role), cwd=ROOT, env=env, stdout=log,
            stderr=log)
        self.record.add(f'start {process.name}')

    def kill_program(self, process):
        process.popen.send_signal(signal.SIGKILL)
        process.popen.wait()
        self.record.add(f'SIGKILL {process.name}')

    def start_worker(self, machine, name=''):
        """Start a new life of a machine's worker at the machine's address.

        :param name: id of its former life, if it starts again under that.
        """
        number = int(machine.split('-')[1])
        self.lives += 1
        name = name or f'i-{number:02d}{self.lives:04d}'
        args = ['--id', name, '--machine', machine,
                '--address', f'{self.prefix}.{101 + number}:{WORKER}',
                '--zone', f'addis-{"abc"[number % 3]}',
                '--rack', f'r1-{number // 4}',
                '--record', str(self.record.path),
                '--began', str(self.record.began)]
        for core in self.cores:
            args += ['--control', f'{core.ip}:{CONTROL}']
        popen = subprocess.Popen(
            [sys.executable, str(LIB / 'worker.py'), *args, *self.worker_args],
            stdout=subprocess.DEVNULL, stderr=(self.folder / 'workers.log')
            .open('ab'))
        self.machines[machine] = (popen, name)

    def cut_worker(self, machine):
        """Let a worker run on without a path to or from the cores."""
        popen, name = self.machines[machine]
        popen.send_signal(signal.SIGUSR1)
        self.record.add(f'cut off worker {name} on {machine}')

    def heal_worker(self, machine):
        self.machines[machine][0].send_signal(signal.SIGUSR2)

    def crash_worker(self, machine):
        popen, name = self.machines[machine]
        popen.send_signal(signal.SIGKILL)
        popen.wait()
        self.machines[machine] = None
        self.record.add(f'SIGKILL worker {name} on {machine}')

    def find_leader(self):
        """Return the core that answers a read of the configuration."""
        for core in self.cores:
            if not core.is_running():
                continue
            status, _ = call(f'{core.ip}:{CONTROL}', 'GET',
                             '/api/configuration/read', limit_s=1.0,
                             redirects=0)
            if status == 200:
                return core
        return None

    def configure(self, config, limit_s=30.0):
        """Send a configuration until a core acknowledges it."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            for core in self.cores:
                status, _ = call(f'{core.ip}:{CONTROL}', 'POST',
                                 '/api/configuration/replace', config)
                if status == 200:
                    self.record.add(f'configuration {config["version"]}: 200')
                    return True
            time.sleep(0.2)
        return False

    def wait_ready(self, limit_s=20.0):
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            if all(call(f'{front.ip}:{READY}', 'GET', '/api/readiness')[0]
                   == 200 for front in self.fronts):
                return True
            time.sleep(0.1)
        return False

    def request(self, method, path, fields=None, front=0, limit_s=3.0):
        """Send a client's request; returns status (0: none) and fields."""
        status, body = call(f'{self.fronts[front].ip}:{FRONT}', method, path,
                            fields, host=HOST, limit_s=limit_s)
        shown = body.get('state', '') if isinstance(body, dict) else ''
        self.record.add(f'client {method} {path}: {status} {shown}')
        return status, body

    def submit(self, path, job, tries=6):
        """Hand a job in; a retry follows any answer but 2xx."""
        for _ in range(tries):
            status, _ = self.request('POST', path, job)
            if status == 200:
                return True
            time.sleep(0.5)
        return False

    def copy_logs(self, folder):
        for path in self.folder.glob('*.log'):
            shutil.copy(path, folder)

    def close(self):
        for entry in self.machines.values():
            if entry is not None:
                entry[0].kill()
                entry[0].wait()
        for process in (*self.cores, *self.fronts):
            if process.popen is not None:
                process.popen.kill()
                process.popen.wait()
        for server in self._servers:
            server.shutdown()
        if os.environ.get('KEEP_LOGS'):
            self.copy_logs(os.environ['KEEP_LOGS'])
        shutil.rmtree(self.folder, ignore_errors=True)


def _read_command(role):
    """Return the command of a role in the deploy file."""
    text = (ROOT / 'deploy' / 'system.toml').read_text()
    section = text.split(f'[roles.{role}]')[1].split('[roles.')[0]
    return re.search(r'^run = "([^"]+)"', section, re.M)[1].split()


def call(address, method, path, fields=None, *, host='', limit_s=3.0,
         redirects=2):
    """Send one request and follow redirects.

    :returns: status, 0 if there is no answer, and the decoded body.
    """
    deadline = time.monotonic() + limit_s
    for _ in range(1 + redirects):
        left_s = max(deadline - time.monotonic(), 0.05)
        try:
            conn = http.client.HTTPConnection(address, timeout=left_s)
            body = None if fields is None else json.dumps(fields)
            conn.request(method, path, body, {
                'Host': host or address, 'Content-Type': 'application/json',
                'X-Deadline-Remaining-Ms': str(int(limit_s * 1000))})
            response = conn.getresponse()
            data = response.read()
            location = response.getheader('Location', '')
            status = response.status
            conn.close()
        except (OSError, http.client.HTTPException):
            return 0, {}
        if status != 307:
            break
        address = location.split('/')[2]
    try:
        return status, json.loads(data) if data else {}
    except ValueError:
        return status, {}


def make_configuration(version, **changes):
    """Return a configuration with the queue /q/ of the pool lots."""
    route = {
        'name': 'r-q', 'host': HOST, 'pathPrefix': '/q/', 'kind': 'unsafe',
        'timeoutMs': 3000, 'targetLatencyMs': 600, 'priority': 0,
        'service': 'lots', 'maxAttempts': 2, 'stretch': 1.6, **changes}
    service = {
        'name': 'lots', 'healthPath': '/health', 'maxConnections': 64,
        'protocol': 'h1', 'tls': False, 'enforcesCapacity': False,
        'standby': False}
    limits = {'maxHeaderBytes': 16384, 'maxBodyBytes': 262144,
              'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000}
    return {'version': version, 'routes': [route], 'services': [service],
            'limits': limits}


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def log_message(self, *_args):
        pass

    def read_fields(self):
        size = int(self.headers.get('Content-Length') or 0)
        return json.loads(self.rfile.read(size) or b'{}')

    def respond(self, status, fields):
        data = json.dumps(fields).encode()
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(data)))
        self.end_headers()
        self.wfile.write(data)


def _make_platform(deployment):
    class Platform(_Handler):
        """Lists the machines; the pools have no spare one to move."""

        def do_GET(self):
            rows = []
            for machine, entry in list(deployment.machines.items()):
                number = int(machine.split('-')[1])
                up = entry is not None and entry[0].poll() is None
                rows.append({
                    'machine': machine, 'pool': 'lots',
                    'state': 'up' if up else 'down',
                    'zone': f'addis-{"abc"[number % 3]}',
                    'labels': ['a', f'r1-{number // 4}'],
                    'capacity': {'cpu': 32000, 'memoryRequestMb': 131072,
                                 'gpus': 0},
                    'id': entry[1] if up else ''})
            self.respond(200, {'machines': rows, 'nextPageToken': ''})

        def do_POST(self):
            fields = self.read_fields()
            deployment.record.add(f'platform {self.path} {fields}')
            self.respond(409, {'reason': 'busy'})

    return Platform


def _make_advisor(is_good, record):
    class Advisor(_Handler):
        """Answers one call at a time, as the policy does not change."""

        lock = threading.Lock()

        def do_POST(self):
            fields = self.read_fields()
            with self.lock:
                time.sleep(0.02)
            good = [[name, f'ticket-{name}'] for name in fields['workers']
                    if is_good(name)]
            record.add(f'advisor {fields["step"]} asked about '
                       f'{" ".join(fields["workers"])}: good '
                       f'{" ".join(row[0] for row in good) or "none"}')
            self.respond(200, {'good': good})

    return Advisor
