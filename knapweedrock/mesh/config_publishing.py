"""Publishing of the configuration from the coordinator to the members."""

import gevent
from logbook import Logger

from knapweedrock.clock import NS_PER_MS, Clock
from knapweedrock.errors import KnapweedrockError
from knapweedrock.mesh.config_watcher import ConfigWatcher
from knapweedrock.mesh.links import Links
from knapweedrock.mesh.messages import (
    Member,
    PublishConfiguration,
    ReadConfiguration,
    Renew,
)

PUBLISH_TIMEOUT_MS = 500
# If a member already has a configuration, a newer one above this size is announced by
# its version alone. If the member has not read the document from the store within the
# grace time, the coordinator pushes the document.
LARGE_CONFIGURATION_BYTES = 8192
STORE_READ_GRACE_MS = 700
# Time after which the coordinator asks a member for a configuration that it could not
# read from the store.
STORE_READ_S = 0.2

log = Logger("coordinator")


class ConfigurationPublisher:
    """Publisher of the configuration, to members that have an older one."""

    def __init__(
        self, links: Links, config_watcher: ConfigWatcher, clock: Clock
    ) -> None:
        self._links = links
        self._config_watcher = config_watcher
        self._clock = clock
        # Time at which each member was first found to have an older configuration.
        self._outdated_since_ns: dict[str, int] = {}
        # Many members may have a newer configuration, and a document may be large.
        self._is_fetching = False

    def sync(self, request: Renew) -> None:
        """Push the configuration to a node with an older one, else read a newer one."""
        versions = (request.config_version, request.zones_version)
        self._config_watcher.refresh_if_newer(*versions)
        self._config_watcher.add_kept_zones(request.zones_era, request.kept_zones)
        if self._config_watcher.is_older(*versions):
            gevent.spawn_later(STORE_READ_S, self._fetch_configuration, request)
        name, now_ns = request.member.node_id, self._clock.now_ns()
        message = self._config_watcher.create_push(*versions, request.kept_zones)
        if message is None:
            self._outdated_since_ns.pop(name, None)
            return
        outdated_since_ns = self._outdated_since_ns.setdefault(name, now_ns)
        is_within_grace = now_ns - outdated_since_ns < STORE_READ_GRACE_MS * NS_PER_MS
        if (
            len(message.document) > LARGE_CONFIGURATION_BYTES
            and request.config_version
            and is_within_grace
        ):
            # The member reads the store itself, since a large document for every
            # member would fill this VM's link.
            message = message._replace(document=b"")
        else:
            del self._outdated_since_ns[name]
        gevent.spawn(self._push_configuration, request.member, message)

    def _push_configuration(
        self, member: Member, message: PublishConfiguration
    ) -> None:
        try:
            self._links.request(member.peer, message, PUBLISH_TIMEOUT_MS)
            log.info("configuration pushed", about=member.node_id)
        except KnapweedrockError as error:
            reason = error.detail
            log.info("configuration not pushed", about=member.node_id, reason=reason)

    def _fetch_configuration(self, request: Renew) -> None:
        """Fetch a newer configuration from a member if the store did not give it."""
        versions = (request.config_version, request.zones_version)
        if self._is_fetching or not self._config_watcher.is_older(*versions):
            return
        member = request.member
        self._is_fetching = True
        try:
            message = self._links.request(
                member.peer, ReadConfiguration(), PUBLISH_TIMEOUT_MS
            )
        except KnapweedrockError as error:
            reason = error.detail
            log.info("configuration not fetched", about=member.node_id, reason=reason)
            return
        finally:
            self._is_fetching = False
        log.info("configuration fetched", about=member.node_id, version=message.version)
        self._config_watcher.handle_push(message)
