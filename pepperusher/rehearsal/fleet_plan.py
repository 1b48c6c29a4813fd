"""Who is in the fleet and where: backends, proxies and addresses, worked out from the script alone.

Every process of a rehearsal works it out for itself and comes to the same, so none of it need be sent about.
"""

from __future__ import annotations

import zlib

from pepperusher.rehearsal.script import Kind, Script

BACKEND_PORT = 7070
PROXY_PORT = 7071
DISCOVERY_PORT = 8500


def _host(net: int, third: int, number: int) -> str:
    return f"127.{net}.{third + number // 250}.{1 + number % 250}"


class Place:
    """One place for a backend. Whoever stands there may be replaced; `generation` tells them apart."""

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
        self.proxy: Gate | None = None  # its own, to the next tier

    def id_at(self, generation: int) -> str:
        return f"{self.name}.{generation}" if generation else self.name


class Gate:
    """One proxy's place. `of` is the backend whose calls it carries, None in the first tier."""

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
    """`places` and `proxies` in the script's order. `net` is the second number of all addresses,
    127.net.x.y."""

    def __init__(self, script: Script, net: int) -> None:
        self.script = script
        self.net = net
        self.places: list[Place] = []
        self.proxies: list[Gate] = []
        self.by_name: dict[str, Place] = {}
        for level, tier in enumerate(script.tiers):
            at = 0
            for kind in tier.kinds:
                for _ in range(kind.count):
                    number = len(self.places)
                    zone = tier.zones[at % len(tier.zones)]
                    place = Place(
                        number,
                        f"{tier.name}-{at + 1}",
                        level,
                        kind,
                        zone,
                        1000 * level + at // tier.cell,
                        (_host(net, 20, number), BACKEND_PORT),
                    )
                    self.places.append(place)
                    self.by_name[place.name] = place
                    at += 1
        for level, tier in enumerate(script.tiers):
            if level == 0:
                callers: list[Place | None] = [None] * tier.proxies
            else:
                callers = [place for place in self.places if place.tier == level - 1]
            for ordinal, of in enumerate(callers):
                number = len(self.proxies)
                zone = of.zone if of else tier.zones[ordinal % len(tier.zones)]
                name = f"p-{of.name}" if of else f"p{ordinal + 1}"
                gate = Gate(
                    number,
                    name,
                    level,
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
        """Which process of the fleet holds it: those of one cell stand together, since they share a
        memory."""
        return zlib.crc32(b"%d" % place.cell) % processes if processes > 1 else 0

    @property
    def front(self) -> list[Gate]:
        """Where clients come in; where the script has no proxies, nobody."""
        return [gate for gate in self.proxies if gate.tier == 0]
