"""Charging of requests to the quota of their workspace, at a node of the mesh."""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from logbook import Logger

from knapweedrock.clock import NS_PER_S, Clock
from knapweedrock.codes import Code
from knapweedrock.counters import Counters
from knapweedrock.errors import KnapweedrockError, RefusalError
from knapweedrock.mesh.messages import ChargeQuota, Member, QuotaCharged
from knapweedrock.quotas.accountants import AccountantOrder
from knapweedrock.quotas.accounts import QuotaAccounts
from knapweedrock.quotas.allowances import QuotaAllowance
from knapweedrock.quotas.buckets import Charge, QuotaLimit, QuotaTerms
from knapweedrock.workspaces.definitions import Workspace

# Longest wait for an accountant's answer, and its share of the request's time.
CHARGE_TIMEOUT_MS = 250.0
CHARGE_TIMEOUT_SHARE = 0.2
# A connection that is lost at once is dialled again once.
SENDS_PER_ACCOUNTANT = 2
# A node with less of its lease left wasn't renewed for so long that the board may name
# it absent, and another accountant in its place.
ISOLATED_LEASE_MS = 1800
MIN_RETRY_AFTER_MS = 200.0
# A silent accountant has a successor after about this time.
UNKNOWN_RETRY_AFTER_MS = 400.0
REPORT_INTERVAL_S = 1

log = Logger("quota")


class Links(Protocol):
    """What charging needs of the links between nodes."""

    def request(self, peer: str, message: Any, timeout_ms: float) -> Any:
        """Send a request to a peer and return its answer."""

    def get_outage(self, peer: str) -> Any:
        """Return the current outage of a peer, or None if there is none."""


class QuotaControl:
    """Charges requests at their accountants, and accounts for other nodes."""

    def __init__(
        self,
        node_id: str,
        clock: Clock,
        counters: Counters,
        links: Links,
        terms: QuotaTerms,
        get_remaining_lease_ms: Callable[[], float],
    ) -> None:
        """Create the control; without a lease the node accounts for nothing."""
        self._node_id = node_id
        self._clock = clock
        self._counters = counters
        self._links = links
        self._terms = terms
        self._get_remaining_lease_ms = get_remaining_lease_ms
        self._accounts = QuotaAccounts(node_id, clock, terms)
        self._peers: dict[str, str] = {}
        self._allowances: dict[str, QuotaAllowance] = {}
        self._reported_ns: dict[str, int] = {}

    def set_terms(self, terms: QuotaTerms) -> None:
        """Change the terms of all quotas."""
        self._terms = terms
        self._accounts.set_terms(terms)

    def set_members(self, members: Mapping[str, Member]) -> None:
        """Choose accountants among the members that are not absent."""
        self._peers = {m.node_id: m.peer for m in members.values()}
        present = [m.node_id for m in members.values() if m.state != "absent"]
        self._accounts.set_order(AccountantOrder(present))

    def record_renewal(self) -> None:
        """Record that the same coordinator is about to renew this node's lease.

        If it was silent for so long that the board may have named this node absent,
        other nodes may have accounted for its workspaces.
        """
        if self._get_remaining_lease_ms() < ISOLATED_LEASE_MS:
            self._accounts.restart()

    def forget_unknown(self, names: Mapping[str, Workspace]) -> None:
        """Forget the workspaces that the configuration no longer has."""
        for state in (self._allowances, self._reported_ns):
            for name in state.keys() - names.keys():
                del state[name]

    def handle_charge(self, _sender: str, message: ChargeQuota) -> QuotaCharged:
        """Charge a request that entered at another node."""
        limit = QuotaLimit(message.version, message.rate_per_s, message.burst)
        charge = self._charge_own(message.workspace, limit, message.is_stand_in)
        return QuotaCharged(*charge)

    def charge(self, workspace: Workspace, version: int, remaining_ms: float) -> float:
        """Charge a request; return after how many ms it may be sent.

        Raises `RefusalError` with `QUOTA_EXCEEDED` or `QUOTA_UNKNOWN`.
        """
        limit = QuotaLimit(version, workspace.rate_per_s, workspace.burst)
        allowance = self._get_allowance(workspace.name)
        charge = self._request_charge(workspace.name, limit, remaining_ms)
        if charge is None:
            return self._spend_allowance(workspace, allowance)
        if charge.is_granted:
            allowance.record_granted(charge.is_calm)
            self._counters.count("quota_charges", outcome="granted")
            return charge.wait_ms
        allowance.record_answer(charge.is_calm)
        self._record_refusal(workspace, "exceeded")
        retry_after_ms = max(charge.retry_after_ms, MIN_RETRY_AFTER_MS)
        raise RefusalError(Code.QUOTA_EXCEEDED, workspace.name, retry_after_ms)

    def _get_allowance(self, workspace: str) -> QuotaAllowance:
        allowance = self._allowances.get(workspace)
        if allowance is None:
            allowance = QuotaAllowance(self._clock, self._terms.window_s)
            self._allowances[workspace] = allowance
        return allowance

    def _spend_allowance(
        self, workspace: Workspace, allowance: QuotaAllowance
    ) -> float:
        if allowance.spend():
            self._counters.count("quota_charges", outcome="allowed")
            return 0.0
        self._record_refusal(workspace, "unknown")
        raise RefusalError(Code.QUOTA_UNKNOWN, workspace.name, UNKNOWN_RETRY_AFTER_MS)

    def _charge_own(
        self, workspace: str, limit: QuotaLimit, is_stand_in: bool
    ) -> Charge:
        lease_ms = self._get_remaining_lease_ms()
        if lease_ms <= 0:
            raise RefusalError(Code.QUOTA_UNKNOWN, "the node has no lease")
        is_isolated = lease_ms < ISOLATED_LEASE_MS
        return self._accounts.charge(workspace, limit, is_isolated, is_stand_in)

    def _request_charge(
        self, workspace: str, limit: QuotaLimit, remaining_ms: float
    ) -> Charge | None:
        """Charge at the first candidate that has not ended, or return None."""
        timeout_ms = min(CHARGE_TIMEOUT_MS, CHARGE_TIMEOUT_SHARE * remaining_ms)
        candidates = self._accounts.order.list_candidates(workspace)
        try:
            for number, node_id in enumerate(candidates):
                is_stand_in = number > 0
                if node_id == self._node_id:
                    return self._charge_own(workspace, limit, is_stand_in)
                message = ChargeQuota(workspace, *limit, is_stand_in)
                charge = self._request_charge_at(
                    self._peers[node_id], message, timeout_ms
                )
                if charge is not None:
                    return charge
        except KnapweedrockError as error:
            log.debug("quota not charged", workspace=workspace, reason=error.detail)
        return None

    def _request_charge_at(
        self, peer: str, message: ChargeQuota, timeout_ms: float
    ) -> Charge | None:
        """Charge at a peer; return None if its process has certainly ended.

        Raises `KnapweedrockError` if the peer does not answer: it may still account.
        """
        for number in range(1, SENDS_PER_ACCOUNTANT + 1):
            if self._has_ended(peer):
                return None
            try:
                return Charge(*self._links.request(peer, message, timeout_ms))
            except KnapweedrockError as error:
                is_last = number == SENDS_PER_ACCOUNTANT
                is_lost = error.code in (Code.PEER_LOST, Code.PEER_UNREACHABLE)
                if not self._has_ended(peer) and (is_last or not is_lost):
                    raise
        return None

    def _has_ended(self, peer: str) -> bool:
        outage = self._links.get_outage(peer)
        return outage is not None and outage.refused

    def _record_refusal(self, workspace: Workspace, outcome: str) -> None:
        """Count a refusal, and log it at most once in an interval and workspace."""
        self._counters.count("quota_charges", outcome=outcome)
        now_ns = self._clock.now_ns()
        last_ns = self._reported_ns.get(workspace.name, 0)
        if last_ns and now_ns - last_ns < REPORT_INTERVAL_S * NS_PER_S:
            return
        self._reported_ns[workspace.name] = now_ns
        log.info(
            "requests refused",
            workspace=workspace.name,
            outcome=outcome,
            rate_per_s=workspace.rate_per_s,
            burst=workspace.burst,
        )
