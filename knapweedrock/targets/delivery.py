"""Delivery of callers' requests to the target beside this node."""

from typing import TYPE_CHECKING, Any

import gevent
import logbook

from knapweedrock.clock import NS_PER_MS
from knapweedrock.codes import INFO, Code, Outcome
from knapweedrock.environment import Dump
from knapweedrock.errors import KnapweedrockError, RefusalError
from knapweedrock.nodes.messages import Deliver, Delivered
from knapweedrock.targets.admission import Admission
from knapweedrock.targets.announcements import Announcement, Target
from knapweedrock.targets.attempts import Attempts, DisplacedError
from knapweedrock.targets.connections import ConnectionPool
from knapweedrock.targets.control import Control
from knapweedrock.targets.crashes import Crashes
from knapweedrock.targets.exchange import BrokenExchangeError
from knapweedrock.targets.grants import Grants
from knapweedrock.targets.intake import Intake
from knapweedrock.targets.jumps import JumpWatch
from knapweedrock.targets.load import HotKey, LoadMeter
from knapweedrock.targets.orders import OrderRecord, Orders, OrderState
from knapweedrock.targets.parser import Answer
from knapweedrock.targets.ramp import Ramp
from knapweedrock.targets.retries import RetryBudget
from knapweedrock.targets.suspects import Suspects
from knapweedrock.targets.work import Work

if TYPE_CHECKING:
    from knapweedrock.environment import Environment

WATCH_INTERVAL_S = 0.1
ORDER_GRACE_MS = 20
POLL_INTERVAL_S = 0.005
MAX_RETRIES = 4
DEFAULT_RETRY_AFTER_MS = 100
HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)

log = logbook.Logger("delivery")


class Delivery(Dump):
    """All that stands between a caller's request and the target."""

    def __init__(self, env: "Environment") -> None:
        self.env = env
        self.target = Target(env)
        self.intake = Intake(env)
        self.ramp = Ramp(env)
        self.pool = ConnectionPool(env)
        self.control = Control(env, self.pool)
        self.admission = Admission(env, self.ramp)
        self.suspects = Suspects(env)
        self.crashes = Crashes(
            env, self.target, self.pool, self.control, self.ramp, self.suspects
        )
        self.attempts = Attempts(
            env, self.pool, self.control, self.admission, self.crashes
        )
        self.jumps = JumpWatch(env, self.attempts, self.ramp)
        self.orders = Orders(env)
        self.retries = RetryBudget()
        self.load = LoadMeter(env)
        self.grants = Grants(env, self.target, self.control)

    def take_announcement(self, announcement: Announcement) -> None:
        """Take what the target says of itself; raises `BAD_ANNOUNCEMENT`."""
        is_new = self.target.take(announcement)
        self.crashes.note_incarnation(announcement["incarnation"])
        if is_new:
            log.info("target {} announced itself", announcement["address"])
            self.intake.open(Code.LEAVING)
            self.pool.reset(self.target.address, announcement["connections"])
            self.ramp.begin(
                announcement["slots"],
                announcement.get("cold_slots"),
                announcement.get("cold_s"),
            )
            self.grants.push_soon()

    def take_leave(self) -> None:
        """Begin the target's leaving: its ranges move, then it gets no new work."""
        if not self.target.leaving:
            log.info("the target is leaving")
        self.target.leaving = True
        self.intake.close(Code.LEAVING)

    def deliver(self, request: Deliver) -> Delivered:
        """Deliver a request to the target; never raises but when it is killed."""
        try:
            delivered = self._deliver(request)
        except KnapweedrockError as error:
            delivered = self._create_failed(error)
        except Exception:
            log.exception("delivery failed")
            delivered = self._create_failed(KnapweedrockError(Code.INTERNAL))
        code = Code(delivered.code)
        self.env.counters.count("delivered", code=code.name)
        return delivered

    def _deliver(self, request: Deliver) -> Delivered:
        self.intake.check()
        self.target.require(request.service)
        grant = self.env.lease.authorize(request.service, request.key)
        work = Work(self.env, request, grant)
        work.check_deadline()
        self.load.add(request.service, request.key)
        self.retries.count_request()
        if request.idempotent:
            self.suspects.check(work.fingerprint)
            return self._create_done(self._run(work))
        return self._deliver_order(work)

    def _deliver_order(self, work: Work) -> Delivered:
        """Run an order, or share the end of the one that runs or ran."""
        if not work.request.key:
            raise RefusalError(Code.KEY_MISSING, "an order needs a key")
        record = self.orders.find(work.request, work.fingerprint)
        is_known = record is not None
        if not is_known:
            self.suspects.check(work.fingerprint)
            record = self.orders.begin(work.request, work.fingerprint, work.grant)
            gevent.spawn(self._run_order, work, record)
        if not record.ended.wait((max(work.get_left_ms(), 0) + ORDER_GRACE_MS) / 1000):
            raise RefusalError(
                Code.ORDER_IN_PROGRESS, retry_after_ms=DEFAULT_RETRY_AFTER_MS
            )
        if record.refusal:
            return record.refusal
        if record.delivered:
            if is_known:
                self.env.counters.count("orders_answered")
            return record.delivered._replace(view=self._get_view())
        raise KnapweedrockError(
            Code.ANSWER_LOST, "the order was sent once; its answer is not on record"
        )

    def _run_order(self, work: Work, record: OrderRecord) -> None:
        """Run an order to its end, whether or not its caller waits."""
        work.record = record
        try:
            delivered = self._create_done(self._run(work))
        except KnapweedrockError as error:
            delivered = self._create_failed(error)
        except Exception:
            log.exception("an order failed")
            delivered = self._create_failed(KnapweedrockError(Code.INTERNAL))
        code = Code(delivered.code)
        if code is Code.DONE:
            self.orders.end(record, OrderState.DONE, delivered)
        elif INFO[code].outcome is Outcome.NOT_RUN:
            record.refusal = delivered
            self.orders.forget(record)
        else:
            record.refusal = delivered
            self.orders.end(record, OrderState.UNKNOWN, None)

    def _run(self, work: Work) -> Answer:
        """Run a request, again where that is safe, within budget and deadline."""
        try:
            for _ in range(MAX_RETRIES):
                try:
                    return self._run_once(work)
                except BrokenExchangeError:
                    self.crashes.wait_classified()
                    if not work.request.idempotent or not self.retries.take():
                        raise
                except DisplacedError:
                    continue
                except RefusalError as error:
                    if error.code is not Code.TARGET_UNREACHABLE or not work.lost:
                        raise
                self.env.counters.count("target_retries")
                self.crashes.wait_settled(work.deadline_ns)
                self.suspects.check(work.fingerprint)
            return self._run_once(work)
        except KnapweedrockError as error:
            raise work.settle_error(error) from error

    def _run_once(self, work: Work) -> Answer:
        alone = self.suspects.must_run_alone(work.fingerprint)
        is_patient = alone or work.lost is not None
        self.admission.acquire(work.request.caller, work.deadline_ns, alone, is_patient)
        began_ns = self.env.clock.now_ns()
        answer = self.attempts.run(work)
        self._check_refused(answer)
        self.ramp.count_success((self.env.clock.now_ns() - began_ns) / NS_PER_MS)
        self.admission.wake()
        if alone:
            self.suspects.clear(work.fingerprint)
        return answer

    def _check_refused(self, answer: Answer) -> None:
        """Raise where the target itself says that it did not run the request."""
        if answer.status not in (412, 503):
            return
        said = {name.lower(): value.lower() for name, value in answer.headers}
        if said.get("not-run") != "true":
            return
        if answer.status == 412:
            raise RefusalError(
                Code.TARGET_FENCED, retry_after_ms=DEFAULT_RETRY_AFTER_MS
            )
        self.ramp.count_shed()
        raise RefusalError(
            Code.TARGET_SHED, retry_after_ms=self.admission.get_retry_after_ms()
        )

    def _create_done(self, answer: Answer) -> Delivered:
        headers = [
            (name, value)
            for name, value in answer.headers
            if name.lower() not in HOP_HEADERS
        ]
        return Delivered(
            Code.DONE, answer.status, headers, answer.body, "", 0, self._get_view()
        )

    def _create_failed(self, error: KnapweedrockError) -> Delivered:
        retry_after_ms = getattr(error, "retry_after_ms", 0)
        if error.info.retry and not retry_after_ms:
            retry_after_ms = DEFAULT_RETRY_AFTER_MS
        return Delivered(
            error.code, 0, [], b"", error.detail, retry_after_ms, self._get_view()
        )

    def _get_view(self) -> tuple[int, int]:
        return tuple(self.env.views.version)

    def member_fields(self) -> dict[str, Any]:
        """Return what the member record says of the target."""
        known = self.target.announcement
        if known is None or not self.target.is_live():
            state = "joining"
        elif self.target.leaving or self.intake.is_closing(Code.LEAVING):
            state = "leaving"
        else:
            state = "serving"
        return {
            "state": state,
            "service": known["service"] if known else "",
            "slots": known["slots"] if known else 0,
            "connections": known["connections"] if known else 0,
            "fenced": known["fenced"] if known else False,
            "cold": self.ramp.is_cold(),
        }

    def load_report(self) -> tuple[int, list[HotKey]]:
        """Return requests a second and `(service, hash, share)` of hot keys."""
        return self.load.report()

    def release(
        self, service: str, ranges: list[tuple[int, int]], wait_ms: int
    ) -> list[dict[str, Any]]:
        """Wait until nothing of the ranges is in flight, then hand over records.

        The lease must refuse the ranges already. Raises `MOVING` where work is
        still in flight after `wait_ms`.
        """
        end_ns = self.env.clock.now_ns() + wait_ms * NS_PER_MS
        while self.attempts.has_sent(service, ranges):
            if self.env.clock.now_ns() >= end_ns:
                raise RefusalError(Code.MOVING, "work on the ranges is in flight")
            gevent.sleep(POLL_INTERVAL_S)
        return self.orders.hand_over(service, ranges)

    def adopt(self, service: str, records: list[dict[str, Any]]) -> None:
        """Take the records of a former owner, once the view names this node."""
        self.orders.adopt(service, records)

    def drain(self, wait_ms: int) -> bool:
        """Refuse new work and wait for what is in flight; tell whether all ended."""
        self.intake.close(Code.LEAVING, 0)
        end_ns = self.env.clock.now_ns() + wait_ms * NS_PER_MS
        while self.attempts.sent or self.admission.waiting:
            if self.env.clock.now_ns() >= end_ns:
                return False
            gevent.sleep(POLL_INTERVAL_S)
        return True

    def watch(self) -> None:
        """Follow the configuration and the target also while no request comes."""
        while True:
            gevent.sleep(WATCH_INTERVAL_S)
            is_overdue = self.target.is_doubted(self.attempts.answered_ns)
            is_doubted = is_overdue or self.pool.has_lost_idle()
            if is_doubted and self.crashes.settled.is_set():
                self.attempts.note_doubt()
            self.intake.refresh()
            self.grants.push_if_due()

    def dump(self) -> dict[str, object]:
        """Return the whole state as plain data."""
        return {
            "target": self.target.announcement,
            "leaving": self.target.leaving,
            "admission": self.admission.dump(),
            "ramp": self.ramp.dump(),
            "connections": {
                "open": self.pool.open_count,
                "idle": len(self.pool.idle),
            },
            "sent": list(self.attempts.sent),
            "orders": self.orders.dump(),
            "suspects": self.suspects.dump(),
            "crashes": self.crashes.dump(),
        }


def create_delivery(env: "Environment") -> Delivery:
    """Create the delivery to the target beside this node and start its watch."""
    delivery = Delivery(env)
    env.dumps["delivery"] = delivery
    gevent.spawn(delivery.watch)
    gevent.spawn(delivery.jumps.run)
    return delivery
