"""Run a node whose requests to peers of other availability zones travel longer.

Stands in place of the program in experiments, so that the product itself has no
option for delays. The delay is added where requests leave and answers arrive.
"""

from gevent import monkey

monkey.patch_all()

import gevent  # noqa: E402

from knapweedrock.core import main  # noqa: E402
from knapweedrock.nodes.links import Links  # noqa: E402

ZONE_DELAY_S = 0.0015

request_directly = Links.request


def request_with_delay(self, address, node_id, message, timeout_ms):
    """Send a request to a peer with the delay between availability zones."""
    member = self.env.views.view["members"].get(node_id)
    if member is None or member["zone"] == self.env.settings.zone:
        return request_directly(self, address, node_id, message, timeout_ms)
    gevent.sleep(ZONE_DELAY_S)
    try:
        return request_directly(self, address, node_id, message, timeout_ms)
    finally:
        gevent.sleep(ZONE_DELAY_S)


if __name__ == "__main__":
    Links.request = request_with_delay
    main()
