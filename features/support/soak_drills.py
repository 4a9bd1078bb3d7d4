"""Faults of the soak: the store comes back from a copy."""

import gevent

from features.support.mesh_builders import create_document
from features.support.mesh_harness import Place
from features.support.mesh_soak import Soak, register_fault

COPY_AGE_RANGE_S = (0.2, 4.0)
AWAY_RANGE_S = (0.0, 3.0)
REWRITE_DELAY_RANGE_S = (0.0, 2.0)


@register_fault
def restore_store(soak: Soak, place: Place) -> None:
    """Copy the store, let it come back later, and write the configuration again.

    A node may be killed meanwhile.
    """
    copy = soak.mesh.objects.copy()
    gevent.sleep(soak.random.uniform(*COPY_AGE_RANGE_S))
    name = place.settings.node_id
    is_killed = soak.random.random() < 0.5 and name in soak.mesh.nodes
    if is_killed:
        soak.mesh.kill_node(name)
    soak.mesh.restore_store(copy, soak.random.uniform(*AWAY_RANGE_S))
    if is_killed:
        soak.mesh.start_node(place)
    gevent.sleep(soak.random.uniform(*REWRITE_DELAY_RANGE_S))
    soak.mesh.configure(create_document(soak.version))
