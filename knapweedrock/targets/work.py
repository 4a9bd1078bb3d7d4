"""A caller's request on its way to the target."""

import itertools
from typing import TYPE_CHECKING

from knapweedrock.clock import NS_PER_MS
from knapweedrock.codes import Code, Outcome
from knapweedrock.errors import KnapweedrockError, RefusalError
from knapweedrock.nodes.messages import Deliver
from knapweedrock.nodes.view import hash_key
from knapweedrock.targets.exchange import encode_head
from knapweedrock.targets.suspects import create_fingerprint

if TYPE_CHECKING:
    from knapweedrock.environment import Environment
    from knapweedrock.nodes.leases import Grant
    from knapweedrock.targets.orders import OrderRecord

_numbers = itertools.count(1)


class Work:
    """One request, its deadline, and what its attempts need."""

    def __init__(self, env: "Environment", request: Deliver, grant: "Grant") -> None:
        self.env = env
        self.request = request
        self.grant = grant
        now_ns = env.clock.now_ns()
        self.deadline_ns = now_ns + int(request.remaining_ms * NS_PER_MS)
        self.key_hash = hash_key(request.key)
        self.fingerprint = create_fingerprint(request)
        self.head = encode_head(request.method, request.path, request.headers)
        self.lost: KnapweedrockError | None = None
        self.record: OrderRecord | None = None

    def get_left_ms(self) -> float:
        """Return the milliseconds until the deadline."""
        return (self.deadline_ns - self.env.clock.now_ns()) / NS_PER_MS

    def check_deadline(self) -> None:
        """Raise `DEADLINE_PASSED` where nothing can be sent any more."""
        if self.env.clock.now_ns() >= self.deadline_ns:
            raise RefusalError(Code.DEADLINE_PASSED)

    def authorize(self) -> None:
        """Check ownership again, right before a send; raises `RefusalError`."""
        self.check_deadline()
        request = self.request
        grant = self.env.lease.authorize(request.service, request.key)
        if not request.idempotent and grant.token != self.grant.token:
            raise RefusalError(Code.MOVING, "the key moved while the order waited")
        self.grant = grant

    def mark_sent(self) -> None:
        """Note on an order's record that it may be at the target from now on."""
        if self.record is not None:
            self.record.sent = True

    def settle_error(self, error: KnapweedrockError) -> KnapweedrockError:
        """Return what to answer: not run only if no attempt may have run."""
        if self.lost and error.info.outcome is Outcome.NOT_RUN:
            return self.lost
        return error

    def create_request_id(self) -> str:
        """Create the id of one attempt."""
        return f"{self.env.settings.node_id}-{self.env.incarnation}-{next(_numbers)}"

    def encode(self, request_id: str) -> bytes:
        """Encode the request for one attempt under the grant in hand."""
        request, grant = self.request, self.grant
        address = self.env.delivery.target.address
        lines = (
            f"{self.head}\r\nHost: {address.host}:{address.port}",
            f"Request-Id: {request_id}",
            f"Request-Deadline-Ms: {max(int(self.get_left_ms()), 1)}",
            f"Fencing-Token: {grant.token}",
            f"Lease-Until: {grant.lease_until_ns}",
            f"Service-Key: {encode_value(request.key)}",
            f"Idempotency-Key: {request.order_id}",
            f"Content-Length: {len(request.body)}\r\n\r\n",
        )
        return "\r\n".join(lines).encode("latin-1") + request.body


def encode_value(key: str) -> str:
    """Encode a key as a header value: UTF-8 bytes, as HTTP carries them."""
    if "\r" in key or "\n" in key or "\0" in key:
        raise RefusalError(Code.BAD_REQUEST, "the key has control characters")
    return key.encode().decode("latin-1")
