"""Who is on the roll, and how each is found; free of I/O.

Three things are kept apart. *Gone* is what a member said of itself. *Silent* is what others find: suspected,
then lost, and taken back by the member's own next word, whenever it comes; a silent member stays on the roll
for good. *Never met* is whom the settings count and nobody has heard of. Only gone frees anything (parts.py).

A member's own words come together as a greatest of (life, turn): the same end in every order, and repeats
change nothing. Charges are of the word they charge and fall with the next one.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import log, log10
from typing import NamedTuple

from pepperusher.group.messages import ALIVE, HEALTH, LEFT, LOST, PHASES, SUSPECTED, Suspicion, MemberRecord

# Names on the roll at the most. One more takes the place of who has left longest, and else is not taken.
MOST = 2_000
# Suspicion as Lifeguard has it: from so many periods times log n down to a sixth, as others doubt too.
LEAST_PERIODS = 5
STRETCH = 6
DOUBTERS = 3
# Charges that were answered are counted for each that made them, one forgotten in this time; beyond so many
# its charges count for nothing: a member that hears nobody charges everyone, without end.
FORGOTTEN = 10_000_000
FORGOTTEN_MOST = 200
WRONG_MOST = 4
# Numbers of packets that came, by which a second one of the same is known; older ones than these are not
# read.
WINDOW = 256


class Change(NamedTuple):
    """What is to be said in the log and acted on: `what` befell `name`."""

    what: str
    name: str
    figures: dict[str, object]


class Member:
    __slots__ = (
        "said",
        "health",
        "since",
        "doubters",
        "charged_at",
        "until",
        "proved",
        "newest",
        "came",
        "heard",
        "held",
        "list",
        "wrong",
        "wrong_at",
        "warned",
    )

    def __init__(self, said: MemberRecord, now: int) -> None:
        self.said = said
        self.health = ALIVE
        self.since = now  # of phase and health as they are
        self.doubters: set[str] = set()  # who charged it as it is; emptied by its next word
        self.charged_at = 0
        self.until = 0  # when suspicion becomes loss
        # The process that answered a packet of ours: what others send in its name is not read.
        self.proved: int | None = None
        self.newest = 0  # number of the newest packet of that process, and which before it came
        self.came = 0
        self.heard = 0  # when it last answered us itself
        self.held = 0  # the digest of notices in its last packet
        self.list = 0  # and the version of the list that it has
        self.wrong = 0  # its charges that were answered
        self.wrong_at = now
        self.warned = 0  # when it was last told that its word is an old one

    @property
    def silent(self) -> bool:
        return not self.said.gone and self.said.phase != LEFT and (self.health != ALIVE or self.said.doubled)

    def fresh(self, number: int) -> bool:
        """Whether a packet of this number has not been read; it has from here on."""
        if number > self.newest:
            self.came = (
                (self.came << (number - self.newest) | 1) & (1 << WINDOW) - 1 if number - self.newest < WINDOW else 1
            )
            self.newest = number
            return True
        bit = 1 << (self.newest - number)
        if self.newest - number >= WINDOW or self.came & bit:
            return False
        self.came |= bit
        return True

    def prove(self, token: int) -> None:
        if self.proved != token:
            self.proved, self.newest, self.came = token, 0, 0


class Membership:
    """All but this proxy itself."""

    def __init__(self, period: int) -> None:
        self._period = period
        self._members: dict[str, Member] = {}
        self._names: tuple[str, ...] | None = None
        # Whom staff took off, as they were: others who still have them would bring them back. FORGOTTEN_MOST.
        self._off: dict[str, tuple[int, int, int]] = {}
        self.refused = 0  # names for which there was no room
        self._doubted: dict[str, Member] = {}  # who is suspected; emptied by their words and by loss
        self.version = 0  # rises with each word that is news, and as somebody is found otherwise

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members.values())

    def get(self, name: str) -> Member | None:
        return self._members.get(name)

    def names(self) -> tuple[str, ...]:
        """Made anew as members come and go, not for each packet."""
        if self._names is None:
            self._names = tuple(self._members)
        return self._names

    # --- what it is told --------------------------------------------------------------------------

    def take(self, said: MemberRecord, now: int) -> list[Change]:
        """A member's own word, from itself or passed on; nothing where it is no news."""
        known = self._members.get(said.name)
        if known is None:
            if said.key <= self._off.get(said.name, (0, 0, 0)):
                return []
            if not self._room():
                self.refused += 1
                return []
            self._members[said.name] = Member(said, now)
            self._names = None
            self.version += 1
            return [Change("met", said.name, _figures(said))]
        before = known.said
        if said.key <= before.key:
            return []
        changes = []
        for doubter in known.doubters:
            if (one := self._members.get(doubter)) is not None and said.token == before.token:
                one.wrong = min(2 * WRONG_MOST, self._wrong(one, now) + 1)
        was = known.health
        known.said = said
        self.version += 1
        known.doubters.clear()
        known.health = ALIVE
        self._doubted.pop(said.name, None)
        if said.doubled and not before.doubled:
            changes.append(
                Change(
                    "doubled: two processes live under one name, neither is believed of the other",
                    said.name,
                    {**_figures(said), "other": before.token},
                )
            )
        elif before.doubled and not said.doubled:
            changes.append(Change("no longer doubled", said.name, _figures(said)))
        if said.token != before.token and not said.doubled and not before.doubled:
            changes.append(Change("a new life", said.name, _figures(said)))
            known.since = now
        elif said.phase != before.phase:
            changes.append(Change(PHASES[said.phase], said.name, _figures(said)))
            known.since = now
        elif was != ALIVE:
            changes.append(Change("heard of again", said.name, {**_figures(said), "was": HEALTH[was]}))
            known.since = now
        return changes

    def _room(self) -> bool:
        if len(self._members) < MOST:
            return True
        left = [one for one in self if one.said.phase == LEFT]
        if not left:
            return False
        self._drop(min(left, key=lambda one: one.since).said.name)
        return True

    def _drop(self, name: str) -> None:
        del self._members[name]
        self._doubted.pop(name, None)
        self._names = None
        self.version += 1

    # --- silence ----------------------------------------------------------------------------------

    def _wrong(self, one: Member, now: int) -> int:
        gone = (now - one.wrong_at) // FORGOTTEN
        if gone > 0:
            one.wrong = max(0, one.wrong - gone)
            one.wrong_at += gone * FORGOTTEN
        return one.wrong

    def believed(self, name: str, now: int) -> bool:
        """Whether charges by it count. One that charges all and is answered by all hears nobody itself."""
        one = self._members.get(name)
        return one is None or self._wrong(one, now) <= WRONG_MOST

    def charge(self, charge: Suspicion, now: int) -> list[Change]:
        """Somebody, or this proxy itself, gets no answer from a member. No news where the member has spoken
        since.
        """
        known = self._members.get(charge.of)
        if known is None or known.said.phase == LEFT or known.health == LOST:
            return []
        if (charge.number, charge.token, charge.turn) != known.said.key or charge.by in known.doubters:
            return []
        if not self.believed(charge.by, now):
            return []
        if len(known.doubters) > DOUBTERS:
            return []
        known.doubters.add(charge.by)
        if known.health == ALIVE:
            known.health, known.charged_at, known.since = SUSPECTED, now, now
            self._doubted[charge.of] = known
            self.version += 1
        known.until = known.charged_at + self.suspicion(len(known.doubters) - 1)
        return [
            Change(
                "suspected" if len(known.doubters) == 1 else "suspected by one more",
                charge.of,
                {**_figures(known.said), "by": charge.by},
            )
        ]

    def suspicion(self, more: int) -> int:
        """For how long a member is suspected whom `more` others than the first doubt too."""
        least = round(LEAST_PERIODS * max(1.0, log10(len(self) + 1)) * self._period)
        doubters = min(DOUBTERS, max(0, len(self) - 1))
        if doubters == 0:
            return least
        part = log(min(more, doubters) + 1) / log(doubters + 1)
        return round(least * (STRETCH - (STRETCH - 1) * part))

    def look(self, now: int) -> list[Change]:
        """Suspicions whose time is over. Not by a walk over the whole roll: it is asked in each turn."""
        changes = []
        for name, one in list(self._doubted.items()):
            if now >= one.until:
                del self._doubted[name]
                self.version += 1
                changes.append(
                    Change(
                        "lost",
                        one.said.name,
                        {
                            **_figures(one.said),
                            "after_us": now - one.charged_at,
                            "by": " ".join(sorted(one.doubters)),
                        },
                    )
                )
                one.health, one.since = LOST, now
        return changes

    def next_look(self) -> int | None:
        return min((one.until for one in self._doubted.values()), default=None)

    def postponed(self, span: int) -> None:
        """This proxy stood still: who did not answer it meanwhile had no chance to."""
        for one in self._doubted.values():
            one.charged_at += span
            one.until += span

    # --- by staff's word ----------------------------------------------------------------------------

    def forget(self, name: str) -> bool:
        """Staff say that a silent or gone member will not come back under this name."""
        one = self._members.get(name)
        if one is None or not (one.silent or one.said.phase == LEFT):
            return False
        self._off[name] = one.said.key
        if len(self._off) > FORGOTTEN_MOST:
            del self._off[next(iter(self._off))]
        self._drop(name)
        return True


def _figures(said: MemberRecord) -> dict[str, object]:
    return {
        "phase": PHASES[said.phase],
        "number": said.number,
        "token": f"{said.token:016x}",
        "turn": said.turn,
    }
