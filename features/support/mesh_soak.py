"""Randomized soak test of node processes under load and faults.

The nodes are checked only from outside: by the records of callers and targets and by
their status pages.
"""

import random
import signal
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import gevent

from features.support.hold_monitor import HoldMonitor
from features.support.limit_watch import LimitMonitor, LimitSpan
from features.support.mesh_builders import create_document
from features.support.mesh_harness import Place
from features.support.mesh_processes import ProcessMesh
from features.support.proxies import Proxy, TargetProxy
from knapweedrock.clock import NS_PER_MS, NS_PER_S, Clock
from knapweedrock.codes import NOT_RUN_STATUSES
from knapweedrock.emulator.addresses import create_address
from knapweedrock.errors import KnapweedrockError
from knapweedrock.mesh.http import MalformedMessageError
from knapweedrock.mesh.http_connections import dial
from knapweedrock.mesh.http_parsers import ResponseParser
from knapweedrock.mesh.snapshots import KEY_COUNT
from knapweedrock.operators.client import fetch_json
from knapweedrock.platform.headers import RATE_LIMIT

ORDER_SHARE = 0.4
FAULT_INTERVAL_RANGE_S = (0.3, 1.5)
RECOVERY_TIMEOUT_S = 15.0
# After the recovery, the load continues for this time while key holders are sampled.
FINAL_LOAD_S = 3.0
SAMPLE_INTERVAL_S = 0.01
HOLD_SAMPLE_S = 0.02
# With few slots and a long service time, hot keys saturate a target.
SLOTS = 3
DEFAULT_WORK_MS = 5.0
HOT_WORK_MS = 60.0
HOT_KEYS = 40
HOT_SHARE = 0.6
# Limits that targets announce, in requests per second.
TARGET_LIMITS_PER_S = (0, 1.5, 6, 12)
# Lowest permitted rate of a target's clock relative to real time.
MIN_CLOCK_RATE = 0.98


# Fault functions by name. Each takes the soak test and the affected VM, and always
# runs to its end.
FAULTS: dict[str, Callable] = {}


def register_fault(inject: Callable) -> Callable:
    """Register a fault under the name of its function."""
    FAULTS[inject.__name__] = inject
    return inject


class SentRequest(NamedTuple):
    """A request and its response; status 0 means that no complete response came."""

    attempt_id: str
    is_order: bool
    status: int
    body: bytes


class SlowClock:
    """Clock that runs slower than another clock by a constant rate."""

    def __init__(self, clock: Clock, rate: float) -> None:
        self._clock = clock
        self._rate = rate

    def now_ns(self) -> int:
        """Return the time in ns."""
        return int(self._clock.now_ns() * self._rate)


class Soak:
    """Load and faults on a mesh of processes, both derived from one seed."""

    def __init__(self, seed: int, vms: int, rate: float, fault_names: str = "") -> None:
        """Create the mesh; an empty `fault_names` selects all faults."""
        self.mesh = ProcessMesh(vms)
        # Proxies of each node by the kind of their traffic.
        self.proxies: dict[str, dict[str, Proxy]] = {}
        for number, place in enumerate(self.mesh.places):
            self.mesh.places[number] = self._add_proxies(number, place)
        self.sent_requests: list[SentRequest] = []
        self.limits = LimitMonitor()
        self.holds = HoldMonitor()
        self.faults: list[str] = []
        self.longest_unheld_ms = 0.0
        # Faults have their own random generator, so that a seed gives the same faults
        # regardless of the number of requests that are sent between them.
        self.random = random.Random(seed)
        self._load_random = random.Random(seed + 1)
        self._fault_names = [
            name for name in FAULTS if not fault_names or name in fault_names.split()
        ]
        self._interval_s = 1 / rate
        self._hot_start = -1
        self.version = 1
        self._request_tasks: list[gevent.Greenlet] = []

    def run(self, seconds: float) -> None:
        """Run load and faults, then wait for the mesh to recover under load."""
        for place in self.mesh.places:
            place.holder.lost_response_share = 0.01
            place.holder.slots = SLOTS
        for proxy in self._list_proxies():
            proxy.start()
        self.mesh.start()
        load = gevent.spawn(self._run_load)
        sampler = gevent.spawn(self._run_samples)
        end_ns = self.mesh.clock.now_ns() + int(seconds * NS_PER_S)
        # A fault that has begun always runs to its end, because an interrupted fault
        # would leave a process stopped or a target down permanently.
        while self.mesh.clock.now_ns() < end_ns:
            gevent.sleep(self.random.uniform(*FAULT_INTERVAL_RANGE_S))
            self._inject_fault()
        self._end_all_faults()
        self.mesh.wait_until(self.mesh.is_settled, RECOVERY_TIMEOUT_S)
        self.mesh.wait_until(self._is_configuration_applied, RECOVERY_TIMEOUT_S)
        self.longest_unheld_ms = self._measure_longest_unheld_ms()
        load.kill()
        sampler.kill()
        gevent.joinall(self._request_tasks, timeout=4)

    def stop(self) -> None:
        """Stop all processes, emulators and proxies."""
        self.mesh.stop()
        for proxy in self._list_proxies():
            proxy.stop()

    def list_violations(self) -> list[str]:
        """List the guarantees that were violated."""
        runs = Counter(
            run.attempt_id for place in self.mesh.places for run in place.holder.runs
        )
        started_ids = set(runs)
        for place in self.mesh.places:
            started_ids |= set(place.holder.interrupted)
        violations = [f"two holders: {item}" for item in self.mesh.double_owners[:3]]
        violations += self.holds.violations
        violations += self.limits.list_violations([p.holder for p in self.mesh.places])
        for request in self.sent_requests:
            if request.is_order and runs[request.attempt_id] > 1:
                violations.append(f"executed twice: {request}")
            is_refused_order = request.is_order and request.status in NOT_RUN_STATUSES
            if is_refused_order and request.attempt_id in started_ids:
                violations.append(f"refused but executed: {request}")
            if request.status == 200 and not request.body.startswith(
                request.attempt_id.encode() + b" "
            ):
                violations.append(f"response to another request: {request}")
        return violations

    def list_stopped_nodes(self) -> list[str]:
        """List the nodes whose processes are stopped or have exited."""
        stopped = []
        for name, node in self.mesh.nodes.items():
            if node.process.poll() is not None or node.is_stopped():
                stopped.append(name)
        return stopped

    def count_served(self) -> int:
        """Count the requests that were served."""
        return sum(1 for request in self.sent_requests if request.status == 200)

    def _add_proxies(self, number: int, place: Place) -> Place:
        """Put proxies in front of a node's listeners, its target and its store."""
        settings, listen = place.settings, create_address()
        proxies = self.proxies[settings.node_id] = {
            "peers": Proxy(settings.peer, listen),
            "callers": Proxy(create_address(), settings.caller),
            "heartbeats": Proxy(create_address(), settings.heartbeat),
            "target": TargetProxy(create_address(), settings.target, number),
            "store": Proxy(create_address(), settings.store),
        }
        place.holder.set_heartbeat(proxies["heartbeats"].listen_address)
        place.holder.announce(proxies["target"].listen_address)
        place.holder.set_clock(SlowClock(self.mesh.clock, MIN_CLOCK_RATE))
        proxied_settings = settings._replace(
            peer_listen=listen,
            target=proxies["target"].listen_address,
            store=proxies["store"].listen_address,
        )
        return place._replace(settings=proxied_settings)

    def _is_configuration_applied(self) -> bool:
        """Return whether all nodes have the newest configuration and no zone is out."""
        for place in self.mesh.places:
            try:
                overview = fetch_json(place.settings.metrics, "/status")
            except KnapweedrockError:
                return False
            if overview["configuration_version"] != self.version:
                return False
            if overview["zones_out"]:
                return False
        return True

    def _list_proxies(self) -> list[Proxy]:
        return [
            proxy for proxies in self.proxies.values() for proxy in proxies.values()
        ]

    def _measure_longest_unheld_ms(self) -> float:
        """Return the longest time in ms in which at least one key had no holder."""
        clock = self.mesh.clock
        end_ns = clock.now_ns() + int(FINAL_LOAD_S * NS_PER_S)
        last_settled_ns, longest_ns = clock.now_ns(), 0
        while clock.now_ns() < end_ns:
            if self.mesh.is_settled():
                last_settled_ns = clock.now_ns()
            longest_ns = max(longest_ns, clock.now_ns() - last_settled_ns)
            gevent.sleep(SAMPLE_INTERVAL_S)
        return longest_ns / NS_PER_MS

    def _run_samples(self) -> None:
        while True:
            self.holds.check([place.holder for place in self.mesh.places])
            gevent.sleep(HOLD_SAMPLE_S)

    def _run_load(self) -> None:
        rng = self._load_random
        while True:
            gevent.sleep(rng.expovariate(1 / self._interval_s))
            name = rng.choice([p.settings.node_id for p in self.mesh.places])
            key = self._choose_key()
            is_order = rng.random() < ORDER_SHARE
            self._request_tasks.append(
                gevent.spawn(self._send_request, name, key, is_order)
            )

    def _choose_key(self) -> int:
        """Choose a key; while keys are hot, choose most of them from the hot range."""
        rng = self._load_random
        if self._hot_start >= 0 and rng.random() < HOT_SHARE:
            return self._hot_start + rng.randrange(HOT_KEYS)
        return rng.randrange(KEY_COUNT)

    def _send_request(self, name: str, key: int, is_order: bool) -> None:
        method, path = ("POST", "/order/1") if is_order else ("GET", "/read/1")
        data, attempt_id = self.mesh.encode_call(path, key, method, b"order", 1200)
        self.limits.record_sent(attempt_id, name)
        status, body = 0, b""
        try:
            connection = dial(self.proxies[name]["callers"].listen_address, 2)
            try:
                connection.send(data, 2)
                response = connection.read(ResponseParser(), 3)
                status, body = response.status, response.body
                if response.get_header(RATE_LIMIT):
                    self._record_limit(name, attempt_id)
            finally:
                connection.close()
        except (OSError, MalformedMessageError):
            status = 0
        self.sent_requests.append(SentRequest(attempt_id, is_order, status, body))

    def _record_limit(self, name: str, attempt_id: str) -> None:
        """Record that a node has forwarded a response in which a target has a limit."""
        now_ns = self.mesh.clock.now_ns()
        for place in self.mesh.places:
            for run in place.holder.runs:
                if run.attempt_id == attempt_id:
                    self.limits.record_answer(name, run.target, now_ns)

    def _inject_fault(self) -> None:
        place = self.random.choice(self.mesh.places)
        name = self.random.choice(self._fault_names)
        self.faults.append(f"{name} {place.settings.node_id}")
        FAULTS[name](self, place)

    def _restart_after_delay(self, place: Place) -> None:
        gevent.sleep(self.random.uniform(0.05, 1.0))
        self.mesh.start_node(place)

    @register_fault
    def kill_node(self, place: Place) -> None:
        """Kill a node and restart it."""
        if place.settings.node_id in self.mesh.nodes:
            self.mesh.kill_node(place.settings.node_id)
            self._restart_after_delay(place)

    @register_fault
    def stop_node(self, place: Place) -> None:
        """Stop a node gracefully and restart it."""
        node = self.mesh.nodes.pop(place.settings.node_id, None)
        if node is not None:
            status = node.stop()
            # SIGTERM ends a process immediately until the program has set its handler.
            is_early = status == -signal.SIGTERM and not node.has_started()
            assert status == 0 or is_early, (
                f"the node did not stop gracefully: {status}"
            )
            self._restart_after_delay(place)

    @register_fault
    def freeze_node(self, place: Place) -> None:
        """Suspend the process of a node for a while."""
        node = self.mesh.nodes.get(place.settings.node_id)
        if node is None:
            return
        node.process.send_signal(signal.SIGSTOP)
        gevent.sleep(self.random.uniform(0.2, 8.0))
        node.process.send_signal(signal.SIGCONT)

    @register_fault
    def crash_target(self, place: Place) -> None:
        """Crash a target and restart it."""
        place.holder.crash()
        gevent.sleep(self.random.uniform(0.1, 2.0))
        place.holder.start()

    @register_fault
    def turn_away(self, place: Place) -> None:
        """Make the store reject the calls of one node."""
        place.front.status = self.random.choice((429, 503))
        gevent.spawn_later(self.random.uniform(0.5, 6.0), self._restore_store, place)

    @register_fault
    def silence_store(self, _place: Place) -> None:
        """Make the store answer no calls."""
        for place in self.mesh.places:
            place.front.silent = True
            place.front.drop_watches()
        gevent.sleep(self.random.uniform(0.5, 8.0))
        for place in self.mesh.places:
            self._restore_store(place)

    @register_fault
    def lose_answers(self, place: Place) -> None:
        """Drop responses to writes; some of the writes take effect late."""
        place.front.lost_write_share = self.random.uniform(0.1, 0.6)
        place.front.late_write_share = self.random.uniform(0.0, 0.4)
        gevent.spawn_later(self.random.uniform(1.0, 5.0), self._restore_store, place)

    @register_fault
    def drop_history(self, _place: Place) -> None:
        """Make the store drop its change history."""
        self.mesh.objects.forget_history()

    @register_fault
    def cut_heartbeats(self, place: Place) -> None:
        """Suspend the heartbeats of a target."""
        place.holder.silent_heartbeats = True
        gevent.spawn_later(
            self.random.uniform(0.5, 9.0), self._restore_heartbeats, place
        )

    @register_fault
    def name_limit(self, place: Place) -> None:
        """Make a target announce a limit for a while, or until its next start."""
        holder = place.holder
        limit = self.random.choice(TARGET_LIMITS_PER_S)
        target, from_ns = holder.target, self.mesh.clock.now_ns()
        holder.limits = (str(limit),)
        gevent.sleep(self.random.uniform(4.0, 8.0))
        holder.limits = ()
        until_ns = self.mesh.clock.now_ns()
        self.limits.add_span(LimitSpan(target, limit, from_ns, until_ns))

    @register_fault
    def leave_by_answers(self, place: Place) -> None:
        """Make a target announce in its responses that it leaves, then restart it."""
        place.holder.leaving = True
        gevent.sleep(self.random.uniform(1.0, 4.0))
        self.crash_target(place)

    @register_fault
    def repeat_refusals(self, place: Place) -> None:
        """Make a target refuse requests and send its refusals a second time, late."""
        place.holder.shed_share = self.random.uniform(0.1, 0.5)
        proxy = self.proxies[place.settings.node_id]["target"]
        proxy.repeat_share = self.random.uniform(0.1, 1.0)
        gevent.spawn_later(
            self.random.uniform(1.0, 5.0), self._end_refusals, place, proxy
        )

    def _end_refusals(self, place: Place, proxy: TargetProxy) -> None:
        place.holder.shed_share = proxy.repeat_share = 0.0

    def _choose_proxy(self, place: Place) -> Proxy:
        proxies = self.proxies[place.settings.node_id]
        return proxies[self.random.choice(sorted(proxies))]

    @register_fault
    def delay_connections(self, place: Place) -> None:
        """Delay the data in one direction of a proxy."""
        proxy = self._choose_proxy(place)
        direction = self.random.choice(proxy.directions)
        direction.delay_s = self.random.uniform(0.02, 0.5)
        gevent.spawn_later(self.random.uniform(0.5, 4.0), proxy.restore)

    @register_fault
    def reset_connections(self, place: Place) -> None:
        """Reset all proxied connections of a node."""
        for proxy in self.proxies[place.settings.node_id].values():
            proxy.reset()

    @register_fault
    def cut_one_way(self, place: Place) -> None:
        """Hold back the data in one direction of a proxy and deliver it later."""
        proxy = self._choose_proxy(place)
        self.random.choice(proxy.directions).open.clear()
        gevent.spawn_later(self.random.uniform(0.5, 7.0), proxy.restore)

    @register_fault
    def silence_connections(self, place: Place) -> None:
        """Make the open connections of a node permanently silent."""
        for proxy in self.proxies[place.settings.node_id].values():
            proxy.silence()

    @register_fault
    def silence_store_connections(self, place: Place) -> None:
        """Silence all open connections to the store, and change the configuration."""
        for proxies in self.proxies.values():
            proxies["store"].silence()
        self.write_configuration(place)

    @register_fault
    def heat_keys(self, _place: Place) -> None:
        """Direct most of the load to adjacent keys and increase the service time."""
        self._hot_start = self.random.randrange(KEY_COUNT - HOT_KEYS)
        for place in self.mesh.places:
            place.holder.work_ms = HOT_WORK_MS
        gevent.spawn_later(self.random.uniform(2.0, 8.0), self._restore_load)

    @register_fault
    def write_configuration(self, _place: Place) -> None:
        """Write a newer configuration, or sometimes two in immediate succession."""
        for _ in range(self.random.choice((1, 1, 2))):
            self.version += self.random.randint(1, 5)
            self.mesh.configure(create_document(self.version))

    @register_fault
    def take_zone_out(self, place: Place) -> None:
        """Take an availability zone out of service for a while."""
        zone = place.settings.zone
        self.mesh.evacuate_zone(zone)
        gevent.sleep(self.random.uniform(0.5, 6.0))
        self.mesh.restore_zone(zone)

    def _restore_load(self) -> None:
        self._hot_start = -1
        for place in self.mesh.places:
            place.holder.work_ms = DEFAULT_WORK_MS

    def _restore_store(self, place: Place) -> None:
        front = place.front
        front.status, front.silent, front.lost_write_share, front.late_write_share = (
            0,
            False,
            0.0,
            0.0,
        )

    def _restore_heartbeats(self, place: Place) -> None:
        place.holder.silent_heartbeats = False

    def _end_all_faults(self) -> None:
        for proxy in self._list_proxies():
            proxy.restore()
        self._restore_load()
        for place in self.mesh.places:
            place.holder.shed_share = 0.0
            self._restore_store(place)
            self._restore_heartbeats(place)
            if place.settings.node_id not in self.mesh.nodes:
                self.mesh.start_node(place)
