"""Watching of the store for the configuration and the zones out of service."""

from collections.abc import Callable
from functools import partial
from typing import Any

import gevent
import msgspec
from logbook import Logger

from knapweedrock.errors import PlatformError
from knapweedrock.json_input import InputError, decode_json
from knapweedrock.mesh.definitions import Configuration
from knapweedrock.mesh.messages import PublishConfiguration
from knapweedrock.mesh.revisions import SeenRevisions
from knapweedrock.mesh.tasks import spawn_supervised
from knapweedrock.platform.documents import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    EVACUATION_KIND,
    decode_configuration,
)
from knapweedrock.platform.store import RevisionExpiredError, Store
from knapweedrock.platform.stored_objects import Change, Listing, StoredObject

# A watch can stop delivering changes without an error, so it is renewed this often.
WATCH_TIMEOUT_S = 6.0
# Interval at which a node that does not watch checks whether it has to.
IDLE_POLL_S = 0.2
# Time after a node's own write in which watches report the changes before it.
REPORT_DELAY_S = 0.2
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.5

log = Logger("following")


class ConfigWatcher:
    """Watcher of the configuration and zones out, which ignores older versions."""

    def __init__(
        self,
        store: Store,
        on_change: Callable[[], None],
        is_watcher: Callable[[], bool],
    ) -> None:
        """Create a watcher that has not read the store yet.

        `on_change` runs after each change. `is_watcher` returns whether this node has
        to watch the store.
        """
        self.configuration: Configuration | None = None
        self.document: Any = None
        self.zones_out: frozenset[str] = frozenset()
        self.zones_revision = 0
        self._has_zones = False
        self._store = store
        self._on_change = on_change
        self._is_watcher = is_watcher
        self._is_refreshing = False
        self._seen = SeenRevisions()
        self._awaits_reports = False
        self._tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start the tasks that watch both kinds of objects.

        A node that has just started reads both once, even if it does not watch: the
        coordinator may not be there to push them.
        """
        self.refresh()
        self._tasks = [
            spawn_supervised(
                partial(
                    self._watch_kind,
                    CONFIGURATION_KIND,
                    self._apply_configuration_listing,
                )
            ),
            spawn_supervised(
                partial(self._watch_kind, EVACUATION_KIND, self._apply_zone_listing)
            ),
        ]

    def stop(self) -> None:
        """Stop watching."""
        gevent.killall(self._tasks, block=False)

    @property
    def version(self) -> int:
        """Return the version of the configuration, or 0 before the first one."""
        return self.configuration.version if self.configuration else 0

    def is_loaded(self) -> bool:
        """Return whether a configuration and the zones out are known."""
        return self.configuration is not None and self._has_zones

    def handle_push(self, message: PublishConfiguration) -> None:
        """Apply a push of the coordinator; read the store if it lacks the document.

        A push is also how a node that cannot read the store gets the configuration.
        """
        if message.document:
            self._apply_pushed_document(message.document)
        else:
            self.refresh_if_newer(message.version, 0)
        if message.zones_revision > self.zones_revision:
            self._set_zones(frozenset(message.zones_out), message.zones_revision)

    def refresh_if_newer(self, version: int, zones_revision: int) -> None:
        """Read the store in a task if another node has a newer version or revision."""
        if self.is_older(version, zones_revision):
            self.refresh()

    def record_write(self, revision: int) -> None:
        """Record a write of this node; read the store if it has missed changes.

        A watch may wait for a store that has forgotten it, or on a connection that
        delivers nothing.
        """
        self._seen.add(revision)
        if self._seen.has_gap() and not self._awaits_reports:
            self._awaits_reports = True
            gevent.spawn_later(REPORT_DELAY_S, self._read_missed_changes)

    def _read_missed_changes(self) -> None:
        self._awaits_reports = False
        if self._seen.has_gap():
            log.info("changes missed", version=self.version)
            self.refresh()

    def refresh(self) -> None:
        """Read the store in a task, unless one is reading it."""
        if not self._is_refreshing:
            self._is_refreshing = True
            gevent.spawn(self._refresh)

    def _refresh(self) -> None:
        try:
            configurations = self._store.list_kind(CONFIGURATION_KIND)
            self._apply_configuration_listing(configurations)
            zones = self._store.list_kind(EVACUATION_KIND)
            self._apply_zone_listing(zones)
            # The listing of a kind that the store does not know has no revision.
            revisions = {configurations.revision, zones.revision} - {0}
            self._seen.add_all_until(min(revisions, default=0))
        except PlatformError as error:
            log.info("store refresh failed", reason=error.detail)
        finally:
            self._is_refreshing = False

    def is_older(self, version: int, zones_revision: int) -> bool:
        """Return whether another node has a newer version or revision."""
        return version > self.version or zones_revision > self.zones_revision

    def create_push(
        self, version: int = 0, zones_revision: int = 0
    ) -> PublishConfiguration | None:
        """Create a push of the state that a node lacks, or None if it lacks none."""
        has_newer_configuration = self.version > version
        if not has_newer_configuration and self.zones_revision <= zones_revision:
            return None
        return PublishConfiguration(
            self.version,
            msgspec.json.encode(self.document) if has_newer_configuration else b"",
            sorted(self.zones_out),
            self.zones_revision,
        )

    def _watch_kind(self, kind: str, apply_listing: Callable[[Listing], None]) -> None:
        """List and watch a kind of objects while this node has to watch the store."""
        backoff_s = MIN_BACKOFF_S
        revision = 0
        is_store_lost = False
        while True:
            if not self._is_watcher():
                revision = 0
                gevent.sleep(IDLE_POLL_S)
                continue
            try:
                if not revision:
                    listing = self._store.list_kind(kind)
                    apply_listing(listing)
                    revision = listing.revision
                batch = self._store.watch(kind, revision, WATCH_TIMEOUT_S)
                if batch.changes:
                    self._apply_changes(kind, batch.changes, batch.revision)
                revision = batch.revision
            except RevisionExpiredError:
                revision = 0
                continue
            except PlatformError as error:
                if not is_store_lost:
                    log.warning("store lost", kind=kind, reason=error.detail)
                is_store_lost = True
                revision = 0
                gevent.sleep(backoff_s)
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
                continue
            if is_store_lost:
                log.info("store regained", kind=kind)
            is_store_lost = False
            backoff_s = MIN_BACKOFF_S

    def _apply_changes(self, kind: str, changes: list[Change], revision: int) -> None:
        for change in changes:
            self._seen.add(change.item.revision)
        if kind == CONFIGURATION_KIND:
            for change in changes:
                if not change.removed:
                    self._apply_configuration(change.item)
            return
        if revision <= self.zones_revision:
            # A newer state was read or pushed while the watch was waiting.
            return
        zones = set(self.zones_out)
        for change in changes:
            if change.removed:
                zones.discard(change.item.name)
            else:
                zones.add(change.item.name)
        self._set_zones(frozenset(zones), revision)

    def _apply_configuration_listing(self, listing: Listing) -> None:
        for item in listing.items:
            self._apply_configuration(item)

    def _apply_configuration(self, item: StoredObject) -> None:
        """Apply the stored configuration if it is readable; ignore other objects."""
        if item.name == CONFIGURATION_NAME and not item.error:
            self._apply_document(item.value)

    def _apply_pushed_document(self, data: bytes) -> None:
        try:
            document = decode_json(data)
        except InputError as error:
            log.error("pushed configuration rejected", reason=str(error))
            return
        self._apply_document(document)

    def _apply_zone_listing(self, listing: Listing) -> None:
        if listing.revision >= self.zones_revision:
            zones = frozenset(item.name for item in listing.items)
            self._set_zones(zones, listing.revision)

    def _set_zones(self, zones: frozenset[str], revision: int) -> None:
        self.zones_revision = revision
        self._has_zones = True
        if zones != self.zones_out:
            log.info("zones out", zones=sorted(zones), revision=revision)
            self.zones_out = zones
            self._on_change()

    def _apply_document(self, document: Any) -> None:
        try:
            configuration = decode_configuration(document)
        except InputError as error:
            log.error("configuration rejected", reason=str(error))
            return
        if self.configuration and configuration.version <= self.configuration.version:
            return
        log.info("configuration in force", version=configuration.version)
        self.configuration = configuration
        self.document = document
        self._on_change()
