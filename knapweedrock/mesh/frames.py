"""Frames on links between nodes: `[number, is_answer, type_id, fields]` in CBOR."""

from typing import Any, NamedTuple

import cbor2
import msgspec

from knapweedrock.codes import Code
from knapweedrock.errors import KnapweedrockError, LinkError
from knapweedrock.mesh.messages import Failed, get_message_type, get_type_id


class Frame(NamedTuple):
    """Message on a link, with the number of the request that it is or answers."""

    number: int
    is_answer: bool
    message: Any


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame as CBOR."""
    type_id = get_type_id(type(frame.message))
    return cbor2.dumps([frame.number, frame.is_answer, type_id, list(frame.message)])


def decode_frame(data: bytes) -> Frame:
    """Decode and check a frame; raises `LinkError` with `BAD_FRAME`."""
    try:
        number, is_answer, type_id, fields = cbor2.loads(data)
        if type(number) is not int or type(is_answer) is not bool:
            raise ValueError("request number or answer flag has the wrong type")
        message_type = get_message_type(type_id)
        if message_type is None:
            raise ValueError(f"unknown message type {type_id!r}")
        message = msgspec.convert(fields, message_type, builtin_types=(bytes,))
    except (ValueError, TypeError, cbor2.CBORError, msgspec.ValidationError) as error:
        raise LinkError(Code.BAD_FRAME, str(error)) from error
    return Frame(number, is_answer, message)


def create_failure(error: KnapweedrockError) -> Failed:
    """Create the message that carries an error to the peer."""
    return Failed(int(error.code), error.detail)
