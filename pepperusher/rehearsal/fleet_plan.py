"""The backends and proxies of the fleet with their addresses, derived from the script alone.

Every process of a rehearsal derives the same plan by itself, so the plan is not sent between processes.
"""

from __future__ import annotations

import zlib

from pepperusher.rehearsal.script import Kind, Script

BACKEND_PORT = 7070
PROXY_PORT = 7071
DISCOVERY_PORT = 8500


def _host(net: int, third_octet: int, number: int) -> str:
    return f"127.{net}.{third_octet + number // 250}.{1 + number % 250}"


class Place:
    """A fixed address at which backends run one after another. A backend's id holds its `generation`, which counts the
    replacements."""

    __slots__ = ("number", "name", "tier", "kind", "zone", "cell", "address", "proxy")

    def __init__(
        self, number: int, name: str, tier: int, kind: Kind, zone: str, cell: int, address: tuple[str, int]
    ) -> None:
        self.number = number
        self.name = name
        self.tier = tier
        self.kind = kind
        self.zone = zone
        self.cell = cell
        self.address = address
        self.proxy: Gate | None = None  # the backend's own proxy, for its calls to the next tier

    def id_at(self, generation: int) -> str:
        return f"{self.name}.{generation}" if generation else self.name


class Gate:
    """A fixed address at which processes of one proxy run one after another. `of` is the backend whose calls the proxy
    forwards, None in the first tier."""

    __slots__ = ("number", "name", "tier", "zone", "ordinal", "group", "address", "discovery", "of")

    def __init__(
        self,
        number: int,
        name: str,
        tier: int,
        zone: str,
        ordinal: int,
        group: int,
        address: tuple[str, int],
        discovery: tuple[str, int],
        of: Place | None,
    ) -> None:
        self.number = number
        self.name = name
        self.tier = tier
        self.zone = zone
        self.ordinal = ordinal
        self.group = group
        self.address = address
        self.discovery = discovery
        self.of = of


class FleetPlan:
    """All backend places and proxies, in the order of the script. All addresses are of the form 127.net.x.y."""

    def __init__(self, script: Script, net: int) -> None:
        self.script = script
        self.net = net
        self.places: list[Place] = []
        self.proxies: list[Gate] = []
        self.by_name: dict[str, Place] = {}
        for tier_index, tier in enumerate(script.tiers):
            index = 0
            for kind in tier.kinds:
                for _ in range(kind.count):
                    number = len(self.places)
                    zone = tier.zones[index % len(tier.zones)]
                    place = Place(
                        number,
                        f"{tier.name}-{index + 1}",
                        tier_index,
                        kind,
                        zone,
                        1000 * tier_index + index // tier.cell,
                        (_host(net, 20, number), BACKEND_PORT),
                    )
                    self.places.append(place)
                    self.by_name[place.name] = place
                    index += 1
        for tier_index, tier in enumerate(script.tiers):
            if tier_index == 0:
                callers: list[Place | None] = [None] * tier.proxies
            else:
                callers = [place for place in self.places if place.tier == tier_index - 1]
            for ordinal, of in enumerate(callers):
                number = len(self.proxies)
                zone = of.zone if of else tier.zones[ordinal % len(tier.zones)]
                name = f"p-{of.name}" if of else f"p{ordinal + 1}"
                gate = Gate(
                    number,
                    name,
                    tier_index,
                    zone,
                    ordinal,
                    len(callers),
                    (_host(net, 2, number), PROXY_PORT),
                    (_host(net, 2, number), DISCOVERY_PORT),
                    of,
                )
                self.proxies.append(gate)
                if of is not None:
                    of.proxy = gate

    def process_of(self, place: Place, processes: int) -> int:
        """The number of the fleet process that runs the backend. Backends of one cell run in one process, since they
        share their memory of idempotency keys."""
        return zlib.crc32(b"%d" % place.cell) % processes if processes > 1 else 0

    @property
    def front(self) -> list[Gate]:
        """The proxies that receive the clients' tickets; empty if the script has no proxies."""
        return [gate for gate in self.proxies if gate.tier == 0]
