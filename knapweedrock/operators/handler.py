"""Handler of operators' connections: broken HTTP gets a numbered answer too."""

from typing import Any

from knapweedrock.codes import Code
from knapweedrock.errors import KnapweedrockError
from knapweedrock.operators.pages import answer_error
from knapweedrock.sockets import NoDelayHandler


class NumberedHandler(NoDelayHandler):
    """Handler whose refusals of broken HTTP carry a result code."""

    def handle_one_request(self) -> Any:
        """Handle one request; the library returns a tuple where it is broken."""
        result = super().handle_one_request()
        if not isinstance(result, tuple):
            return result
        status = result[0]
        return status, create_refusal(status)

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        return "400", create_refusal("400")


def create_refusal(status: str) -> bytes:
    """Create the whole answer to broken HTTP, after which the connection closes."""
    error = KnapweedrockError(Code.BAD_REQUEST, "the request is broken HTTP")
    body = answer_error(error).body
    head = (
        f"HTTP/1.1 {status} Bad Request\r\n"
        "Connection: close\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n"
        f"Knapweedrock-Code: {int(error.code)}\r\n\r\n"
    )
    return head.encode() + body
