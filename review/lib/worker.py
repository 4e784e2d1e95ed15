"""Stand-in of a worker, as PROTOCOL.md describes it ("Running tasks").

One process is one life of a worker. It holds leases on its own clock, refuses
lower fencing tokens, starts, stops and lists runs. Each start and end goes to
the record of the case.
"""

import argparse
import http.client
import http.server
import json
import signal
import threading
import time

MAX_HOLD_MS = 10_000
STOP_S = 0.05
GANG_TIMEOUT_S = 3.0
HEARTBEAT_S = 1.5


class Worker:
    def __init__(self, args):
        self.args = args
        self.began = time.monotonic()
        self.born = int(time.time() * 1000)
        self.changed = threading.Condition()
        self.token = 0
        self.lease_ms = 0
        # By task: run, start in ms, specification and whether it is stopping.
        self.running = {}
        self.ended = []
        self.position = 0
        self.highest = {}
        self.is_cut = False

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    def note(self, text):
        at = time.monotonic() - float(self.args.began)
        line = f'{at:8.3f} worker {self.args.id} {text}\n'
        with open(self.args.record, 'a') as file:
            file.write(line)

    def end(self, task, how):
        entry = self.running.pop(task)
        self.position += 1
        self.highest[task] = max(self.highest.get(task, 0), entry['run'])
        self.ended.append([self.position, task, entry['run'], how, ''])
        self.note(f'end {task} run {entry["run"]}: {how}')
        self.changed.notify_all()

    def extend(self, until_ms):
        if until_ms is not None:
            limit = self.clock_ms() + MAX_HOLD_MS
            self.lease_ms = max(self.lease_ms, min(until_ms, limit))

    def work(self):
        """End the tasks whose time or whose lease is over."""
        while True:
            time.sleep(0.02)
            with self.changed:
                now = self.clock_ms()
                for task, entry in list(self.running.items()):
                    work_ms = json.loads(entry['text']).get('workMs', 0)
                    if now > self.lease_ms:
                        self.end(task, 'lapsed')
                    elif entry['stop_at'] and now >= entry['stop_at']:
                        self.end(task, 'stopped')
                    elif work_ms and now - entry['at'] >= work_ms:
                        self.end(task, 'done')

    def start(self, fields):
        """Carry out /api/run-start; returns status and reason."""
        task, run = fields['task'], fields['run']
        token = fields.get('fencingToken', 0)
        if token < self.token:
            return 409, 'fence'
        self.token = token
        self.extend(fields['untilMs'])
        if fields['untilMs'] <= self.clock_ms():
            return 409, 'late'
        if self.args.tickets and not fields.get('ticket'):
            self.note(f'refused {task} run {run}: no ticket')
            return 409, 'ticket'
        entry = self.running.get(task)
        if entry is not None and entry['run'] == run:
            return 200, ''
        if entry is not None or run <= self.highest.get(task, 0):
            return 409, 'old'
        self.running[task] = {'run': run, 'at': self.clock_ms(),
                              'text': fields['specification'], 'stop_at': 0}
        self.note(f'start {task} run {run}')
        return 200, ''

    def stop(self, fields):
        task, run = fields['task'], fields['run']
        if fields.get('fencingToken', 0) < self.token:
            return 409, 'fence'
        self.token = fields.get('fencingToken', 0)
        self.highest[task] = max(self.highest.get(task, 0), run)
        entry = self.running.get(task)
        if entry is not None and entry['run'] <= run and not entry['stop_at']:
            entry['stop_at'] = self.clock_ms() + int(STOP_S * 1000)
            self.note(f'told to stop {task} run {run}')
        return 200, ''

    def hold(self, fields):
        if fields.get('fencingToken', 0) < self.token:
            return 409, {'reason': 'fence'}
        self.token = fields.get('fencingToken', 0)
        self.extend(fields.get('untilMs'))
        seen = fields['lastSeen']
        self.ended = [row for row in self.ended if row[0] > seen]
        deadline = time.monotonic() + fields.get('waitMs', 0) / 1000
        while not self.ended and time.monotonic() < deadline:
            self.changed.wait(deadline - time.monotonic())
        rows = []
        for task, entry in self.running.items():
            percent = 100
            work_ms = json.loads(entry['text']).get('workMs', 0)
            if work_ms:
                age = self.clock_ms() - entry['at']
                percent = min(100 * age // work_ms, 99)
            elif self.clock_ms() - entry['at'] < 500:
                percent = 0
            rows.append([task, entry['run'], '', percent, 0])
        return 200, {'running': rows, 'ended': self.ended[:500]}

    def send_heartbeats(self):
        sequence = 0
        time.sleep(self.args.first_heartbeat_s)
        while True:
            while self.is_cut:
                time.sleep(0.02)
            sequence += 1
            fields = {
                'service': 'lots', 'address': self.args.address,
                'zone': self.args.zone, 'version': 'v1', 'slots': 8,
                'state': 'ready', 'coldRemainingMs': 0,
                'capacity': {'cpu': 32000, 'memoryRequestMb': 131072,
                             'gpus': 0},
                'labels': ['a', self.args.rack], 'clockMs': self.clock_ms(),
                'sequence': sequence, 'born': self.born}
            for address in self.args.control:
                if self._send(address, fields):
                    break
            time.sleep(HEARTBEAT_S)

    def _send(self, address, fields):
        path = f'/api/instances/{self.args.id}/heartbeat'
        for _ in range(3):
            try:
                conn = http.client.HTTPConnection(address, timeout=1.0)
                conn.request('POST', path, json.dumps(fields),
                             {'Content-Type': 'application/json'})
                response = conn.getresponse()
                response.read()
                conn.close()
            except (OSError, http.client.HTTPException):
                return False
            if response.status != 307:
                return 200 <= response.status < 300
            address = response.getheader('Location', '').split('/')[2]
        return False


def make_handler(worker):
    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = 'HTTP/1.1'
        disable_nagle_algorithm = True

        def log_message(self, *_args):
            pass

        def do_GET(self):
            self.respond(200, {})

        def do_POST(self):
            size = int(self.headers.get('Content-Length') or 0)
            fields = json.loads(self.rfile.read(size) or b'{}')
            expected = self.headers.get('X-Expected-Instance')
            if expected not in (None, worker.args.id):
                return self.respond(421, {})
            if worker.is_cut:
                return self.wait_for_heal()  # the call does not arrive
            with worker.changed:
                if self.path == '/api/hold':
                    status, body = worker.hold(fields)
                else:
                    act = {'/api/run-start': worker.start,
                           '/api/run-stop': worker.stop}.get(self.path)
                    status, reason = act(fields) if act else (200, '')
                    body = {'reason': reason} if reason else {}
                body['clockMs'] = worker.clock_ms()
                body['born'] = worker.born
            return self.respond(status, body)

        def wait_for_heal(self):
            while worker.is_cut:
                time.sleep(0.02)
            self.close_connection = True

        def respond(self, status, fields):
            if worker.is_cut:
                self.wait_for_heal()  # no byte leaves the worker
                return
            data = json.dumps(fields).encode()
            head = (f'HTTP/1.1 {status} Answer\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(data)}\r\n\r\n')
            self.wfile.write(head.encode() + data)

    return Handler


def main():
    parser = argparse.ArgumentParser()
    for name in ('id', 'machine', 'address', 'zone', 'rack', 'record',
                 'began'):
        parser.add_argument(f'--{name}', required=True)
    parser.add_argument('--control', action='append')
    parser.add_argument('--first-heartbeat-s', type=float, default=0.0)
    parser.add_argument('--tickets', action='store_true')
    worker = Worker(parser.parse_args())
    host, _, port = worker.args.address.rpartition(':')

    class Server(http.server.ThreadingHTTPServer):
        request_queue_size = 64
        daemon_threads = True
        allow_reuse_address = True

    def cut(*_):
        worker.is_cut = True
        worker.note('is cut off')

    def heal(*_):
        worker.is_cut = False
        worker.note('is reached again')

    signal.signal(signal.SIGUSR1, cut)
    signal.signal(signal.SIGUSR2, heal)
    server = Server((host, int(port)), make_handler(worker))
    threading.Thread(target=worker.work, daemon=True).start()
    threading.Thread(target=worker.send_heartbeats, daemon=True).start()
    worker.note(f'up on {worker.args.machine}')
    server.serve_forever()


if __name__ == '__main__':
    main()
