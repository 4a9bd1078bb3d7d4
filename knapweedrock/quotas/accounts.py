"""Buckets of the workspaces that a node accounts for."""

from knapweedrock.clock import NS_PER_MS, Clock
from knapweedrock.quotas.accountants import AccountantOrder
from knapweedrock.quotas.buckets import Charge, QuotaBucket, QuotaLimit, QuotaTerms

# A bucket of a workspace that another node accounts for is dropped after this time
# without a charge: that node may have granted tokens since.
STAND_IN_EXPIRY_MS = 1000.0
# Time for which a predecessor that is cut off may still have a lease.
SHARED_MS = 3000
MAX_BUCKETS = 10_000


class QuotaAccounts:
    """Buckets of a node, each dropped once the node may not be the only accountant."""

    def __init__(self, node_id: str, clock: Clock, terms: QuotaTerms) -> None:
        self.order = AccountantOrder()
        self._node_id = node_id
        self._clock = clock
        self._terms = terms
        # Time from which the node may have been the accountant of a workspace.
        self._ordered_ns = clock.now_ns()
        self._buckets: dict[str, QuotaBucket] = {}

    def set_terms(self, terms: QuotaTerms) -> None:
        """Change the terms; buckets that exist keep theirs until they are dropped."""
        self._terms = terms

    def set_order(self, order: AccountantOrder) -> None:
        """Change the order; keep only buckets that this node accounts for in both."""
        if order.node_ids == self.order.node_ids:
            return
        former, self.order = self.order, order
        self._ordered_ns = self._clock.now_ns()
        for workspace in list(self._buckets):
            for one in (former, order):
                if not one.is_accountant(workspace, self._node_id):
                    self._buckets.pop(workspace, None)

    def restart(self) -> None:
        """Drop all buckets, as other nodes may have accounted for this one."""
        self._buckets.clear()
        self._ordered_ns = self._clock.now_ns()

    def charge(
        self,
        workspace: str,
        limit: QuotaLimit,
        is_isolated: bool = False,
        is_stand_in: bool = False,
    ) -> Charge:
        """Charge one request to a workspace.

        See `QuotaBucket.charge` for `is_isolated`, `ChargeQuota` for `is_stand_in`.
        """
        bucket = self._find_bucket(workspace)
        if bucket is None:
            bucket = self._create_bucket(workspace, limit, is_stand_in)
        bucket.configure(limit)
        return bucket.charge(is_isolated)

    def _find_bucket(self, workspace: str) -> QuotaBucket | None:
        bucket = self._buckets.get(workspace)
        if bucket is None or self.order.is_accountant(workspace, self._node_id):
            return bucket
        if bucket.get_idle_ms() > STAND_IN_EXPIRY_MS:
            return None
        return bucket

    def _create_bucket(
        self, workspace: str, limit: QuotaLimit, is_stand_in: bool
    ) -> QuotaBucket:
        if len(self._buckets) >= MAX_BUCKETS:
            # Empty buckets are safe, and fill again.
            self.restart()
        empty_ns = self._clock.now_ns()
        if self.order.is_accountant(workspace, self._node_id):
            empty_ns = self._ordered_ns
        # Only a predecessor that has certainly ended grants nothing any more.
        shared_until_ns = 0 if is_stand_in else empty_ns + SHARED_MS * NS_PER_MS
        bucket = QuotaBucket(self._clock, self._terms, limit, empty_ns, shared_until_ns)
        self._buckets[workspace] = bucket
        return bucket
