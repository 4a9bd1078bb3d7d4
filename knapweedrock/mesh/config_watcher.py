"""Watching of the store for the configuration and the zones out of service."""

from collections.abc import Callable, Collection
from functools import partial
from typing import Any

import gevent
import msgspec
from logbook import Logger

from knapweedrock.clock import Clock, create_clock
from knapweedrock.eras.versions import NO_VERSION, StoreVersion
from knapweedrock.eras.zones import KEPT_ZONE_MS, KeptZones
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
        clock: Clock | None = None,
    ) -> None:
        """Create a watcher that has not read the store yet.

        `on_change` runs after each change. `is_watcher` returns whether this node has
        to watch the store.
        """
        self.configuration: Configuration | None = None
        self.document: Any = None
        # Zones out of service: those that the store lists, and those that are kept out.
        self.zones_out: frozenset[str] = frozenset()
        self.zones_version = NO_VERSION
        self._listed_zones: frozenset[str] = frozenset()
        self._kept_zones = KeptZones()
        self._clock = clock or create_clock()
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
        self._start_watches()

    def restart(self) -> None:
        """Read the store and watch it anew, as it has come back from a copy.

        A watch of the former era may wait on a connection that delivers nothing.
        """
        if self._tasks:
            gevent.killall(self._tasks, block=False)
            self.start()

    def _start_watches(self) -> None:
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
        self._tasks = []

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
            self.refresh_if_newer(message.version, NO_VERSION)
        if message.zones_version > self.zones_version:
            self._set_zones(frozenset(message.zones_out), message.zones_version)
        self.add_kept_zones(message.zones_era, message.kept_zones)

    def add_kept_zones(self, era: int, zones: Collection[tuple[str, int]]) -> None:
        """Keep zones out of service that another node keeps out in the same era."""
        if not zones or era != self.zones_version.era:
            return
        now_ns = self._clock.now_ns()
        for zone, remaining_ms in zones:
            if zone not in self._listed_zones:
                self._kept_zones.add(zone, remaining_ms, now_ns)
        if self._get_zones_out() != self.zones_out:
            self._update_zones()

    def list_kept_zones(self) -> list[tuple[str, int]]:
        """List the zones that are kept out, with the remaining time in ms."""
        return self._kept_zones.list_current(self._clock.now_ns())

    def refresh_if_newer(self, version: int, zones_version: StoreVersion) -> None:
        """Read the store in a task if another node has a newer version."""
        if self.is_older(version, zones_version):
            self.refresh()

    def record_write(self, written: StoreVersion) -> None:
        """Record a write of this node; read the store if it has missed changes.

        A watch may wait for a store that has forgotten it, or on a connection that
        delivers nothing.
        """
        self._record_seen(written)
        if self._seen.has_gap() and not self._awaits_reports:
            self._awaits_reports = True
            gevent.spawn_later(REPORT_DELAY_S, self._read_missed_changes)

    def _record_seen(self, version: StoreVersion) -> None:
        if self._is_seen_era(version.era):
            self._seen.add(version.revision)

    def _is_seen_era(self, era: int) -> bool:
        """Return whether seen revisions are of an era; begin anew in a later one."""
        if era > self._seen.era:
            self._seen = SeenRevisions(era)
        return era == self._seen.era

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
            self._record_all_seen(configurations, zones)
        except PlatformError as error:
            log.info("store refresh failed", reason=error.detail)
        finally:
            self._is_refreshing = False

    def _record_all_seen(self, *listings: Listing) -> None:
        # The listing of a kind that the store does not know has no revision.
        versions = {listing.version for listing in listings if listing.revision}
        if versions and self._is_seen_era(min(versions).era):
            self._seen.add_all_until(min(versions).revision)

    def is_older(self, version: int, zones_version: StoreVersion) -> bool:
        """Return whether another node has a newer configuration or newer zones."""
        return version > self.version or zones_version > self.zones_version

    def create_push(
        self,
        version: int = 0,
        zones_version: StoreVersion = NO_VERSION,
        kept_zones: Collection[tuple[str, int]] = (),
    ) -> PublishConfiguration | None:
        """Create a push of the state that a node lacks, or None if it lacks none."""
        has_newer_configuration = self.version > version
        own_kept_zones = self.list_kept_zones()
        lacks_kept_zones = dict(own_kept_zones).keys() - dict(kept_zones).keys()
        if (
            not has_newer_configuration
            and self.zones_version <= zones_version
            and not (lacks_kept_zones and self.zones_version.era == zones_version.era)
        ):
            return None
        return PublishConfiguration(
            self.version,
            msgspec.json.encode(self.document) if has_newer_configuration else b"",
            sorted(self._listed_zones),
            self.zones_version.revision,
            self.zones_version.era,
            own_kept_zones,
        )

    def _watch_kind(self, kind: str, apply_listing: Callable[[Listing], None]) -> None:
        """List and watch a kind of objects while this node has to watch the store."""
        backoff_s = MIN_BACKOFF_S
        # Version from which the watch continues; None to list the kind first.
        version: StoreVersion | None = None
        is_store_lost = False
        while True:
            if not self._is_watcher():
                version = None
                gevent.sleep(IDLE_POLL_S)
                continue
            try:
                if version is None:
                    listing = self._store.list_kind(kind)
                    apply_listing(listing)
                    version = listing.version
                batch = self._store.watch(kind, version.revision, WATCH_TIMEOUT_S)
                if batch.era != version.era:
                    # The revision was given out again, so changes may be missing.
                    version = None
                    continue
                if batch.changes:
                    self._apply_changes(kind, batch.changes, batch.version)
                version = batch.version if batch.revision else None
            except RevisionExpiredError:
                version = None
                continue
            except PlatformError as error:
                if not is_store_lost:
                    log.warning("store lost", kind=kind, reason=error.detail)
                is_store_lost = True
                version = None
                gevent.sleep(backoff_s)
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
                continue
            if is_store_lost:
                log.info("store regained", kind=kind)
            is_store_lost = False
            backoff_s = MIN_BACKOFF_S

    def _apply_changes(
        self, kind: str, changes: list[Change], version: StoreVersion
    ) -> None:
        for change in changes:
            self._record_seen(change.item.version)
        if kind == CONFIGURATION_KIND:
            for change in changes:
                if not change.removed:
                    self._apply_configuration(change.item)
            return
        if version <= self.zones_version:
            # A newer state was read or pushed while the watch was waiting.
            return
        zones = set(self._listed_zones)
        for change in changes:
            if change.removed:
                zones.discard(change.item.name)
            else:
                zones.add(change.item.name)
        self._set_zones(frozenset(zones), version)

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
        if listing.version >= self.zones_version:
            zones = frozenset(item.name for item in listing.items)
            self._set_zones(zones, listing.version)

    def _set_zones(self, zones: frozenset[str], version: StoreVersion) -> None:
        """Set the zones that the store lists at a version."""
        now_ns = self._clock.now_ns()
        if self._has_zones and version.era > self.zones_version.era:
            self._keep_zones(self.zones_out - zones)
        else:
            self._kept_zones.release(self._listed_zones - zones, now_ns)
        self.zones_version = version
        self._has_zones = True
        self._listed_zones = zones
        self._update_zones()

    def _keep_zones(self, zones: frozenset[str]) -> None:
        """Keep zones out of service that the store lists no more in a new era."""
        self._kept_zones.begin_era(zones, self._clock.now_ns())
        if zones:
            log.warning("zones kept out", zones=sorted(zones), ms=KEPT_ZONE_MS)

    def _update_zones(self) -> None:
        """Compute the zones out now, and again when the time of a kept zone is over."""
        for _, remaining_ms in self.list_kept_zones():
            gevent.spawn_later((remaining_ms + 1) / 1000, self.end_kept_zones)
        self._set_zones_out(self._get_zones_out())

    def end_kept_zones(self) -> None:
        """Bring zones back into service whose time is over."""
        self._set_zones_out(self._get_zones_out())

    def _get_zones_out(self) -> frozenset[str]:
        return self._listed_zones | dict(self.list_kept_zones()).keys()

    def _set_zones_out(self, zones: frozenset[str]) -> None:
        if zones != self.zones_out:
            version = self.zones_version
            log.info(
                "zones out",
                zones=sorted(zones),
                revision=version.revision,
                era=version.era,
            )
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
