"""Filters the endpoint list of discovery through a mark per endpoint, for example an operator's drain; free of I/O.

A mark never lifts a state that discovery reports: every update of discovery passes at once, whatever the marks are.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from pepperusher.facade import Endpoint


class EndpointFilter:
    """Applies marks to the endpoints of discovery and remembers which ones discovery lists as ready."""

    def __init__(self, apply_mark: Callable[[Endpoint], Endpoint]) -> None:
        self._apply_mark = apply_mark
        # The last entry from discovery of each ready endpoint, by id; a full list replaces them.
        self._listed: dict[str, Endpoint] = {}

    def filter(self, endpoints: Iterable[Endpoint], whole: bool) -> list[Endpoint]:
        """Returns an endpoint update with the marks applied: one entry for each, in the same order."""
        if whole:
            self._listed.clear()
        filtered = []
        for endpoint in endpoints:
            if endpoint.ready:
                self._listed[endpoint.id] = endpoint
            else:
                # Draining or gone: marks do not apply, and removing a mark does not make it ready again.
                self._listed.pop(endpoint.id, None)
            filtered.append(self._apply_mark(endpoint))
        return filtered

    def replace_marks(self, update_marks: Callable[[], object]) -> list[Endpoint]:
        """Changes the marks by calling `update_marks` and returns the entries that change, among endpoints that
        discovery lists as ready."""
        before = {endpoint_id: self._apply_mark(endpoint) for endpoint_id, endpoint in self._listed.items()}
        update_marks()
        return [
            after
            for endpoint_id, endpoint in self._listed.items()
            if (after := self._apply_mark(endpoint)) != before[endpoint_id]
        ]

    def ready_endpoints(self) -> list[Endpoint]:
        """Returns the endpoints that discovery lists as ready."""
        return list(self._listed.values())

    def __contains__(self, name: str) -> bool:
        return name in self._listed
