"""The upstreams of each service that this node knows, with their states and adapters.

Members come from the service documents and, by selector, from the platform's list of instances.
The module itself does no I/O; only the adapters that it caches do.
"""

from dataclasses import dataclass

from ..document import ServiceDocument, UpstreamGroup
from ..ids import ServiceName, UpstreamId
from ..state.platform_services import ListedInstance
from .adapters import Upstream, UpstreamAdapter, adapter_for
from .instance_watch import InstanceWatch, WatchedState


@dataclass(frozen=True, slots=True)
class KnownUpstream:
    """An upstream with the group that it belongs to."""

    service: ServiceName
    upstream: Upstream
    group: UpstreamGroup


class UpstreamDirectory:
    """Upstreams by service; changes are returned so that the caller can notify listeners."""

    def __init__(self) -> None:
        self._documents: dict[ServiceName, ServiceDocument] = {}
        self._listed: list[ListedInstance] = []
        self._known: dict[UpstreamId, KnownUpstream] = {}
        self.has_read_list = False
        """Whether the platform's list has been read since the start."""
        self.watch = InstanceWatch()
        """Which of the known upstreams take new work."""
        self._adapters: dict[UpstreamId, UpstreamAdapter] = {}

    def set_document(self, service: ServiceName, document: ServiceDocument) -> list[UpstreamId]:
        """Apply the document in force; return the upstreams added, changed or removed."""
        self._documents[service] = document
        return self._rebuild()

    def set_listed(self, listed: list[ListedInstance]) -> list[UpstreamId]:
        """Apply the platform's list; return the upstreams added, changed or removed."""
        self._listed = listed
        self.has_read_list = True
        return self._rebuild()

    def of_service(self, service: ServiceName) -> list[KnownUpstream]:
        """Return a service's upstreams."""
        return [known for known in self._known.values() if known.service == service]

    def get(self, upstream: UpstreamId) -> KnownUpstream | None:
        """Return an upstream, or ``None`` when it is unknown or gone."""
        return self._known.get(upstream)

    def services(self) -> list[ServiceName]:
        """Return the services that have a document in force."""
        return sorted(self._documents)

    def is_leaving(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream takes no new work."""
        return self.watch.state(upstream) is not WatchedState.LIVE

    def adapter(self, upstream: UpstreamId) -> UpstreamAdapter | None:
        """Return the adapter of a known upstream, created at first use."""
        known = self._known.get(upstream)
        if known is None:
            return None
        if upstream not in self._adapters:
            self._adapters[upstream] = adapter_for(known.upstream)
        return self._adapters[upstream]

    def _rebuild(self) -> list[UpstreamId]:
        resolved = {known.upstream.upstream: known for known in self._resolve_upstreams()}
        changed = [
            upstream
            for upstream in resolved.keys() | self._known.keys()
            if resolved.get(upstream) != self._known.get(upstream)
        ]
        for upstream in changed:
            before, after = self._known.get(upstream), resolved.get(upstream)
            if before and (after is None or after.upstream != before.upstream):
                self._adapters.pop(upstream, None)
        self._known = resolved
        self._update_watch(changed)
        return sorted(changed)

    def _update_watch(self, changed: list[UpstreamId]) -> None:
        for upstream in changed:
            known = self._known.get(upstream)
            if known is None:
                self.watch.remove_upstream(upstream)
            else:
                self.watch.add_upstream(upstream, from_list=known.group.selector is not None)

    def _resolve_upstreams(self) -> list[KnownUpstream]:
        found = []
        for service, document in sorted(self._documents.items()):
            for group in document.upstreams:
                found += [
                    KnownUpstream(service, upstream, group) for upstream in self._members(group)
                ]
        return found

    def _members(self, group: UpstreamGroup) -> list[Upstream]:
        named = [
            Upstream(UpstreamId(entry.name), entry.address, entry.availability_zone, group.kind)
            for entry in group.members
        ]
        selected = [
            Upstream(UpstreamId(listed.name), listed.address, listed.zone, group.kind)
            for listed in self._listed
            if group.selector is not None and listed.kind == group.selector
        ]
        return named + selected
