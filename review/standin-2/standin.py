"""Stand-ins for the platform's store, the promotion call, instances and callers.

They speak what PROTOCOL.md says, over loopback addresses. Only Python's standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "currantlb-platform")
PING_S = 1.2
STORE_ANSWER_S = 0.004
PROMOTE_S = 0.6
NEW_CONNECTION_S = 0.012


class Record:
    """Writes what happened to record.txt, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")
        self.file.flush()


def claim_network():
    """Claims a loopback network for a run, so that two runs side by side use different ones."""
    while True:
        network, claim = random.randrange(20, 220), socket.socket()
        try:
            claim.bind((f"127.{network}.255.1", 9999))
            return network, claim
        except OSError:
            claim.close()


NETWORK, NETWORK_CLAIM = claim_network()


# --- The platform's store -------------------------------------------------------------------


class Store:
    """Keys with revisions, leases and a history, as PROTOCOL.md describes the platform's store."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.leases = {}
        self.history = []
        self.rev = 100
        self.next_lease = 1000
        self.era = 0
        self.is_down = False
        self.history_from = 0
        self.changed = asyncio.Event()
        self.on_write = None

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Writes a key, and returns the revision."""
        self.rev += 1
        created = self.items[key]["created"] if key in self.items else self.rev
        self.items[key] = {"key": key, "value": value, "rev": self.rev, "created": created, "lease": lease}
        self.history.append(dict(self.items[key]))
        self._notify()
        return self.rev

    def delete(self, key):
        if key in self.items:
            self.rev += 1
            del self.items[key]
            self.history.append({"key": key, "rev": self.rev, "tombstone": True})
            self._notify()
        return self.rev

    def expire(self):
        now = time.monotonic()
        for lease in [one for one, (until, _) in self.leases.items() if until <= now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)
        return True

    @staticmethod
    def shown(item):
        if "tombstone" in item:
            return item
        return {**item, "value": base64.b64encode(item["value"]).decode()}

    def copy(self):
        """Returns a copy that the store can be restored from."""
        self.expire()
        now = time.monotonic()
        leases = {lease: (until - now, ttl) for lease, (until, ttl) in self.leases.items()}
        return {key: dict(item) for key, item in self.items.items()}, leases, self.rev, self.next_lease

    def restore(self, copy):
        """Comes back from a copy: what was written since is gone, and revisions are given out again."""
        now = time.monotonic()
        items, leases, self.rev, self.next_lease = copy
        self.items = {key: dict(item) for key, item in items.items()}
        self.leases = {lease: (now + left, ttl) for lease, (left, ttl) in leases.items()}
        self.history = [dict(item) for item in sorted(self.items.values(), key=lambda one: one["rev"])]
        self.history_from = self.rev
        self.era += 1
        self.is_down = False
        self.record.write(f"store restored: era {self.era} revision {self.rev}")
        self._notify()

    async def handle(self, method, path, query, body):
        """Returns status and body of a call; None when there is no answer."""
        self.expire()
        if self.is_down:
            return 503, {}
        if path == "/-/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, {**self.shown(item), "current-rev": self.rev}) if item else (404, {})
        if path == "/-/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            items = [self.shown(self.items[key]) for key in keys[:500]]
            return 200, {"items": items, "has-more": len(keys) > 500, "current-rev": self.rev}
        if path == "/-/kv-watch":
            return await self.watch(query)
        if path == "/-/kv-txn":
            return self.transact(json.loads(body))
        if path == "/-/kv-lease":
            ttl = max(1000, json.loads(body)["ttl-ms"])
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1e3, ttl)
            return 200, {"lease": self.next_lease, "ttl-ms": ttl}
        if path.startswith("/-/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1e3, ttl)
            return 200, {"lease": lease, "ttl-ms": ttl}
        if path.startswith("/-/kv-lease-end/") and method == "DELETE":
            return (200, {}) if self.end_lease(int(path.rsplit("/", 1)[1])) else (404, {})
        return 404, {}

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = time.monotonic() + int(query["wait-ms"]) / 1e3
        era = self.era
        while True:
            if self.is_down or self.era != era:
                return 503, {}
            if after > self.rev or after < self.history_from:
                return 410, {}
            events = [self.shown(one) for one in self.history if one["rev"] > after and one["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current-rev": self.rev}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
            except asyncio.TimeoutError:
                self.expire()

    def transact(self, call):
        for row in call.get("precondition", []):
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                rows = [self.items[one["key"]] for one in call["precondition"] if one["key"] in self.items]
                return 412, {"items": [self.shown(one) for one in rows]}
        for write in call.get("writes", []):
            if write.get("lease") and write["lease"] not in self.leases:
                return 404, {}
        for write in call.get("writes", []):
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write.get("lease", 0))
            if write["key"].startswith("own/databases") or write["key"] == "own/duty":
                self.record.write(f"store {write['key']} = {value.decode(errors='replace')}")
        for key in call.get("deletes", []):
            self.delete(key)
        return 200, {"rev": self.rev}


class StorePort:
    """Address of the store for one VM, whose path to it can be cut."""

    def __init__(self, store, promote):
        self.store, self.promote = store, promote
        self.is_cut = False
        # Says for a path whether its answer is lost; None outside of a disruption.
        self.loses = None
        self.answers = self.lost_answers = 0
        self.healed = asyncio.Event()
        self.healed.set()

    def cut(self):
        """Nothing passes any more in either direction; what is held up is lost when its sender closes."""
        self.is_cut = True
        self.healed.clear()

    def heal(self):
        self.is_cut = False
        self.healed.set()

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        return self

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if self.is_cut:
                    return writer.transport.abort() if await self.lost(reader) else None
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                await asyncio.sleep(STORE_ANSWER_S)
                if url.path == "/promote":
                    status, answer = self.promote(json.loads(body), headers)
                else:
                    status, answer = await self.store.handle(method, url.path, query, body)
                if self.is_cut:
                    return writer.transport.abort() if await self.lost(reader) else None
                if self.loses is not None:
                    self.answers += 1
                    if self.loses(url.path, query):
                        # A connection on which a response is lost returns nothing further.
                        self.lost_answers += 1
                        self.store.record.write(f"answer lost: {target} to {self.address}")
                        return await self.lost(reader)
                data = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} X\r\nStore-Era: {self.store.era}\r\nContent-Length: {len(data)}\r\n"
                writer.write(head.encode() + b"Content-Type: application/json\r\n\r\n" + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def lost(self, reader):
        """Waits until the other end gives up a call that fell into a cut."""
        while await reader.read(4096):
            pass
        return True


# --- Instances ------------------------------------------------------------------------------


class Group:
    """One service: a primary and its replicas, which share their addresses' lifetimes with the script."""

    def __init__(self, record, store, name):
        self.record, self.store, self.name = record, store, name
        self.members = {}
        self.term = 3
        self.lead = None
        self.runs = []
        self.commits = []
        self.promotions = []

    async def add(self, ident, zone, is_primary=False, slots=3):
        instance = Instance(self, ident, zone, slots)
        self.members[ident] = instance
        if is_primary:
            instance.role, self.lead = "primary", instance
        await instance.start()
        return instance

    def promote(self, body, headers):
        ident, fence = body.get("id"), headers.get("x-currantlb-fence-token")
        holder = headers.get("x-currantlb-lease-holder")
        self.record.write(f"platform promote {ident} holder={holder} generation={fence}")
        instance = self.members.get(ident)
        if instance is None or not instance.is_up:
            return 409, {}
        self.promotions.append((time.monotonic(), ident, holder, int(fence)))
        if instance.role == "primary" and instance is self.lead:
            return 200, {}
        asyncio.get_running_loop().call_later(PROMOTE_S, self.take_effect, instance)
        return 200, {}

    def take_effect(self, instance):
        if not instance.is_up:
            return
        self.term += 1
        former, self.lead = self.lead, instance
        instance.role, instance.term, instance.known_term = "primary", self.term, self.term
        instance.paused_under = 0
        instance.term_base = len(instance.log)
        self.record.write(f"{instance.ident} leads term {self.term} with {instance.position()}")
        for member in self.members.values():
            member.paused_under = 0
            if member is not instance and member is not former and member.is_up:
                member.follow(instance)
        if former is not None and former is not instance and former.is_up:
            asyncio.get_running_loop().call_later(1.0, former.step_down, self.term)


class Instance:
    """An instance with a log of commits; each is a list of (item, data) with its position."""

    def __init__(self, group, ident, zone, slots):
        self.group, self.ident, self.zone, self.slots = group, ident, zone, slots
        self.role, self.state = "replica", "ready"
        self.term = self.known_term = group.term
        self.log = []
        self.base = (group.term, 1000)
        self.paused_under = 0
        self.is_up = self.is_deaf = False
        self.reaches_store = True
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.port = None
        self.busy = 0
        self.writers = set()
        self.new_entry = asyncio.Event()
        self.work_s = lambda text: 0.004
        self.hook = None
        self.behind_s = lambda: 0.001

    def position(self):
        term, number = (self.log[-1][0] if self.log else self.base)
        return f"{term}.{number}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port or 0, limit=4<<20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.is_up = True
        self.beating = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.announce()
            await asyncio.sleep(PING_S)

    def announce(self):
        if not self.reaches_store or self.group.store.is_down:
            return
        self.seq += 1
        value = {
            "service": self.group.name, "addr": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "cold-left-ms": 0, "db-role": self.role,
            "seq": self.seq, "born": self.born,
        }
        key = f"servers/{self.ident}"
        known = self.group.store.items.get(key)
        shown = {name: value[name] for name in value if name != "seq"}
        if known:
            former = json.loads(known["value"])
            former.pop("seq", None)
            if former == shown:
                return
        self.group.store.put(key, json.dumps(value).encode())

    def crash(self):
        """Ends without a word; the log is kept."""
        self.group.record.write(f"{self.ident} crashes at {self.position()}")
        self.is_up = False
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def restart(self, keeps_log=True):
        """Starts again under the id that it had."""
        self.born, self.seq = int(time.time() * 1000), 0
        if not keeps_log:
            self.log, self.base = [], (0, 0)
            self.term = self.known_term = 0
        if self.group.lead is not self:
            self.role = "replica"
        self.paused_under = 0
        self.server = None
        while self.server is None:
            try:
                await self.start()
            except OSError:
                await asyncio.sleep(0.05)
        lead = self.group.lead
        if lead is not self and lead.is_up and lead.role == "primary":
            self.follow(lead)
        self.group.record.write(f"{self.ident} is back as {self.role} at {self.position()}")

    def follow(self, lead):
        """Takes over the log of the primary, which rolls back what it lacks."""
        if self.is_deaf or not self.is_up:
            return
        self.term = self.known_term = lead.term
        common = 0
        while common < min(len(self.log), len(lead.log)) and self.log[common][0] == lead.log[common][0]:
            common += 1
        if common < len(self.log):
            self.group.record.write(f"{self.ident} rolls back {len(self.log) - common} commits")
        self.log = self.log[:common] + lead.log[common:]

    def step_down(self, term):
        if self.is_up and self.role == "primary" and self.term < term and self.group.lead is not self:
            self.role, self.known_term = "replica", max(self.known_term, term)
            self.announce()
            self.follow(self.group.lead)

    def receives_from(self, lead):
        is_paused = self.paused_under > lead.term
        return self.is_up and not self.is_deaf and not is_paused and self.role == "replica"

    async def commit(self, writes, ident):
        """Commits writes at the primary; returns whether a replica has received them."""
        last = (self.log[-1][0] if self.log else self.base)[1]
        entry = ((self.term, last + 1), writes, ident)
        self.log.append(entry)
        self.group.record.write(f"{self.ident} commits {ident} at {self.position()}")
        received = asyncio.Event()
        for member in list(self.group.members.values()):
            if member is not self:
                asyncio.create_task(self.send(member, entry, received))
        await received.wait()
        return self.is_up

    async def send(self, member, entry, received):
        """Sends the log up to an entry to a replica, again and again until the replica has received it."""
        await asyncio.sleep(member.behind_s())
        while self.is_up and entry in self.log:
            if member.receives_from(self):
                member.receive(self, self.log[: self.log.index(entry) + 1])
                if entry in member.log:
                    received.set()
                    return
            await asyncio.sleep(0.01)
        received.set()

    def receive(self, lead, log):
        """Takes over what the primary has sent."""
        if self.log[: len(log)] == log:
            return
        if log[: len(self.log)] == self.log:
            self.log = list(log)
        else:
            self.follow(lead)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        session = Session(self, writer)
        try:
            while True:
                line = await reader.readuntil(b"\r\n")
                if not await session.message(line[:-2].decode()):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Session:
    """One connection of a VM to an instance."""

    def __init__(self, instance, writer):
        self.instance, self.writer = instance, writer
        self.tenant = None
        self.state = "I"
        self.writes, self.reads_only = [], False
        self.values, self.prepared = {}, {}

    def send(self, *lines):
        self.writer.write("".join(line + "\r\n" for line in lines).encode())

    def ready(self):
        return f"READY {self.state} {self.instance.position()}"

    async def message(self, line):
        instance = self.instance
        if line.startswith("START "):
            fields = line.split(" ")
            await asyncio.sleep(NEW_CONNECTION_S)
            if fields[1] != instance.group.name or (len(fields) > 3 and fields[3] != instance.ident):
                self.send(f"ERR MISROUTED {instance.ident}")
                return False
            self.tenant = fields[2]
            self.send(self.ready())
            return True
        if not line.startswith("QUERY "):
            return False
        _, ident, text = line.split(" ", 2)
        after = None
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
        answer = await self.query(ident, text, after)
        if answer is None:
            return False
        self.send(*answer, self.ready())
        await self.writer.drain()
        return True

    def fail(self, code):
        if self.state == "T":
            self.state = "E"
        return [f"ERR {code} {self.instance.ident}"]

    def lacks(self, after):
        if after is None:
            return False
        term, number = self.instance.position().split(".")
        return tuple(map(int, after.split("."))) > (int(term), int(number))

    async def query(self, ident, text, after):
        instance = self.instance
        word, _, rest = text.partition(" ")
        if word == "STATUS":
            return [self.status(), "DONE -"]
        if word in ("PAUSE", "RESUME", "DEMOTE"):
            self.control(word, rest)
            return [self.status(), "DONE -"]
        if word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return ["DONE -"]
        if word == "RESET":
            self.values, self.prepared = {}, {}
            return ["DONE -"]
        if word == "PREPARE":
            name, _, shape = rest.partition(" ")
            self.prepared[name] = shape
            return ["DONE -"]
        if word == "ROLLBACK":
            self.state, self.writes = "I", []
            return ["DONE -"]
        if self.state == "E":
            return ["ERR BADMSG the transaction has failed"]
        if word == "BEGIN":
            if rest != "READ" and instance.role != "primary":
                return self.fail("READONLY")
            if self.lacks(after):
                return self.fail("LAGGING")
            self.state, self.writes, self.reads_only = "T", [], rest == "READ"
            return ["DONE -"]
        shape = ""
        if word == "EXEC":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return self.fail("NOSTMT")
            word, _, shape = self.prepared[name].partition(" ")
        return await self.run(ident, word, rest, text, shape, after)

    async def run(self, ident, word, rest, text, shape, after):
        instance = self.instance
        if instance.busy >= instance.slots * 4:
            return self.fail("BUSY")
        if self.lacks(after):
            return self.fail("LAGGING")
        is_commit = word == "COMMIT"
        writes = bool(self.writes) if is_commit else word == "WRITE"
        if (writes or (self.state == "T" and not self.reads_only and not is_commit)) and instance.role != "primary":
            return self.fail("READONLY")
        if self.reads_only and writes and self.state == "T":
            return self.fail("READONLY")
        instance.busy += 1
        try:
            if instance.hook is not None and await instance.hook(self, ident, word, rest) is None:
                return None
            await asyncio.sleep(instance.work_s(text))
        finally:
            instance.busy -= 1
        instance.group.record.write(f"{instance.ident} runs {ident} {text} tenant={self.tenant}")
        instance.group.runs.append((time.monotonic(), instance.ident, ident, text, self.tenant))
        item, _, data = rest.partition(" ")
        stamp = f"DONE {random.getrandbits(64):x}.{ident}"
        if word == "READ":
            return [f"ROW {self.value_of(item)}", stamp]
        if word == "WRITE" and self.state == "T":
            self.writes.append((item, data))
            return [stamp]
        made, self.writes = (self.writes if is_commit else [(item, data)]), []
        if is_commit:
            self.state = "I"
        if made and not await instance.commit(made, ident):
            return None
        return [stamp]

    def value_of(self, item):
        for name, data in reversed(self.writes):
            if name == item:
                return data
        for _, writes, _ in reversed(self.instance.log):
            for name, data in reversed(writes):
                if name == item:
                    return data
        return "-"

    def status(self):
        one = self.instance
        return f"ROW {one.role} {one.known_term} {one.position()} {one.term} 2 {one.busy} {len(one.writers)}"

    def control(self, word, rest):
        one, term = self.instance, int(rest or 0)
        one.group.record.write(f"{one.ident} gets {word} {rest}")
        if word == "PAUSE" and one.role == "replica" and term > one.term:
            one.paused_under, one.known_term = term, max(term, one.known_term)
        elif word == "RESUME":
            one.paused_under = 0
        elif word == "DEMOTE" and one.role == "primary" and one.term < term:
            one.role, one.known_term = "replica", term
            one.announce()


# --- VMs and callers ------------------------------------------------------------------------


class Vm:
    """A process of the platform's program, started with the command of the deploy file."""

    def __init__(self, folder, index, zone, store_address, cpu_share=0.25):
        self.name, self.ip = f"front-{zone}-{index}", f"127.{NETWORK}.{index}.1"
        self.caller, self.probe = (self.ip, 8465), (self.ip, 8460)
        self.path = os.path.join(folder, f"{self.name}.jsonc")
        self.log_path = os.path.join(folder, f"{self.name}.log")
        settings = {
            "vm": self.name, "availability_zone": zone, "cpu_share": cpu_share,
            "caller_address": f"{self.ip}:8465", "probe_address": f"{self.ip}:8460",
            "metrics_address": f"{self.ip}:9464", "vm_ip": self.ip, "peer_ports": [7560, 7575],
            "store_address": store_address, "promotion_address": store_address,
            "max_descriptors": 4200, "drain_limit_ms": 7000, "stop_within_s": 6,
        }
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.process = None

    async def start(self):
        log = open(self.log_path, "ab")
        environment = {"CURRANTLB_BOOT": self.path, "PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/")}
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, cwd=ROOT, env=environment, stdout=log, stderr=log
        )

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.probe)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def await_ready(self, limit=15):
        end = time.monotonic() + limit
        while not await self.is_ready():
            if time.monotonic() > end:
                raise RuntimeError(f"{self.name} isn't ready")
            await asyncio.sleep(0.1)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()


class Closed(Exception):
    """The connection ended without a complete answer."""


class Caller:
    """A session of a caller."""

    def __init__(self, vm, route, key):
        self.vm, self.route, self.key = vm, route, key
        self.reader = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(*self.vm.caller)
        self.writer.write(f"START {self.route} {self.key}\r\n".encode())
        line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 2)).decode().strip()
        if not line.startswith("READY"):
            self.close()
        return line

    async def query(self, ident, text):
        """Returns (outcome line, rows, state); raises Closed when the connection ends before that."""
        try:
            self.writer.write(f"QUERY {ident} {text}\r\n".encode())
            rows, outcome = [], None
            while True:
                line = (await self.reader.readuntil(b"\r\n")).decode().strip()
                if line.startswith("ROW "):
                    rows.append(line[4:])
                elif line.startswith("READY"):
                    return outcome, rows, line.split(" ")[1]
                else:
                    outcome = line
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise Closed(str(error)) from error

    def close(self):
        if self.reader is not None:
            self.writer.close()
            self.reader = None


def configuration(version, tenants, routes, services=("db",), sync_replicas=1):
    """The operator's configuration; tenants are (name, keys, rate, burst), routes keyword fields."""
    return json.dumps({
        "version": version,
        "routes": [
            {"name": f"r-{one['host']}", "prefix": "/", "attempts": 2, "public": False, "priority": 1,
             "service": "db", "timeout-ms": 800, "slo-ms": 200, **one}
            for one in routes
        ],
        "services": [
            {"name": name, "health-path": "/health", "max-conns": 32, "sync-replicas": sync_replicas}
            for name in services
        ],
        "limits": {"tx-idle-ms": 3000},
        "tenants": [
            {"name": name, "api-keys": keys, "priority": 1, "rate-per-s": rate, "burst": burst}
            for name, keys, rate, burst in tenants
        ],
    }).encode()


ROUTES = [
    {"host": "own", "type": "session", "max-staleness-ms": 2500},
    {"host": "bounded", "type": "bounded", "max-staleness-ms": 1500, "timeout-ms": 1500, "slo-ms": 400, "priority": 2},
    {"host": "primary", "type": "primary", "timeout-ms": 800, "slo-ms": 120},
]


class Deployment:
    """Store, one service with three instances, and VMs."""

    def __init__(self, case_folder):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        # Settings and logs of the VMs; kept with KEEP=1.
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.record)
        self.group = Group(self.record, self.store, "db")
        self.vms, self.ports = [], []
        self.version = 0

    def configure(self, tenants, routes=ROUTES, **more):
        self.version += 1
        self.store.put("op/config", configuration(self.version, tenants, routes, **more))
        self.record.write(f"operator confirms configuration {self.version}: tenants={[one[0] for one in tenants]}")

    async def start(self, vms, tenants, routes=ROUTES, zones=("a", "b", "c"), cpu_share=0.25):
        self.configure(tenants, routes)
        for index, ident in enumerate(("i-1", "i-2", "i-3")):
            await self.group.add(ident, zones[index % len(zones)], is_primary=index == 0)
        for index in range(vms):
            port = await StorePort(self.store, self.group.promote).start("127.0.0.1")
            vm = Vm(self.folder, index + 1, zones[index % len(zones)], port.address, cpu_share)
            self.ports.append(port)
            self.vms.append(vm)
            await vm.start()
        for vm in self.vms:
            await vm.await_ready()
        self.record.write("all VMs are ready")

    async def end(self):
        for vm in self.vms:
            await vm.end()
        for member in self.group.members.values():
            if member.is_up:
                member.crash()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder)


def main(case_folder, run):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def whole():
        deployment = Deployment(case_folder)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(run(deployment, trouble), 110)
        finally:
            await deployment.end()

    try:
        broken = asyncio.run(whole())
        print("broken" if broken else "held", flush=True)
        status = 1 if broken else 0
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case couldn't run: {error!r}", flush=True)
        status = 2
    # Without the interpreter's end, which reports connections that are still open.
    os._exit(status)
