"""Who owns a key, since when, and by which token."""

from typing import TYPE_CHECKING, Any

from knapweedrock.codes import Code
from knapweedrock.errors import KnapweedrockError
from knapweedrock.nodes.view import hash_key

if TYPE_CHECKING:
    from knapweedrock.environment import Environment


def find_owner(env: "Environment", service: str, key: str) -> dict[str, Any]:
    """Find the owner of a key as this node knows it."""
    service = service or choose_service(env)
    found = env.configuration.value["services"].get(service)
    if found is None and service not in env.views.view["tables"]:
        detail = f"service {service!r} is not in the configuration"
        raise KnapweedrockError(Code.UNKNOWN_SERVICE, detail)
    if found is not None and not found["keyed"]:
        return describe_undivided(env, service)
    return describe_range(env, service, key)


def choose_service(env: "Environment") -> str:
    """Choose the only service divided by key."""
    services = env.configuration.value["services"].values()
    keyed = sorted(service["name"] for service in services if service["keyed"])
    if len(keyed) == 1:
        return keyed[0]
    choice = ", ".join(keyed) or "nothing"
    detail = f"service: found nothing, expected one of {choice}"
    raise KnapweedrockError(Code.BAD_REQUEST, detail)


def describe_undivided(env: "Environment", service: str) -> dict[str, Any]:
    """Describe a service whose keys nobody owns."""
    members = env.views.find_members(service)
    return {
        "service": service,
        "keyed": False,
        "targets": sorted(member["node_id"] for member in members),
    }


def describe_range(env: "Environment", service: str, key: str) -> dict[str, Any]:
    """Describe the range that holds a key, and its owner."""
    if not key:
        raise KnapweedrockError(Code.BAD_REQUEST, "key: found nothing, expected a key")
    key_hash = hash_key(key)
    found = env.views.find_range(service, key_hash)
    owner = found["owner"] if found else ""
    member = env.views.view["members"].get(owner)
    return {
        "service": service,
        "keyed": True,
        "key": key,
        "hash": f"{key_hash:016x}",
        "owner": owner,
        "zone": member["zone"] if member else "",
        "caller": member["caller"] if member else "",
        "token": found["token"] if found else 0,
        "since_ms": found["since_ms"] if found else 0,
        "hot": bool(found and found.get("hot")),
        "moving": bool(found and found.get("moving")),
        "epoch": env.views.version.epoch,
        "count": env.views.version.count,
    }
