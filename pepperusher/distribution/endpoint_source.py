"""Whether a proxy goes by the list that control machines tell, or asks discovery itself; free of I/O.

The term in force: a change counts as told 6 s after discovery had it and could be reached. A watch of one's own that
falls silent is left after 2.5 to 3 s (`net.call_schedule.SILENT`, `SPREAD`), so that a second call may go out before 6 s
are over. The same is held to here, by discovery's own word and not by the control machine's: a list of which
discovery last spoke 2.5 to 3 s ago is left for discovery, however many machines between say that they are there.
What an owner missed is so asked for no later than what a watch missed; not counted, here and there, is what a word
was on the way.

Back to the control machines only by a word that is fresh, of the list held, and later than what discovery told here,
with a list that is no older than that.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from pepperusher.distribution.messages import NO_VERSION, Version

# Without a word of discovery's for so long, and a spread that is drawn each time, since the words of all stop at
# one moment: those of `net.call_schedule` for a watch.
LEAVE_AFTER = 2_500_000
LEAVE_SPREAD = 500_000
# At a start control machines have so long, and a spread that is as wide as a start's at discovery: the last ask 3.5 s
# after it, and 2.5 s are left for the answer.
START_WAIT_US = 1_500_000
START_SPREAD = 2_000_000
# A watch that stands is given up so long after control machines are fresh again, drawn up to twice that: it costs
# discovery little, and whoever came because one owner was lost need not go while that one comes and goes. Doubled
# where it was left again within AGAIN_WITHIN.
STAY = 5_000_000
STAY_MOST = 30_000_000
AGAIN_WITHIN = 60_000_000
LOOK_EVERY = 250_000

UNDECIDED, CONTROL, DISCOVERY = range(3)
SOURCE_NAMES = ("nobody yet", "control machines", "discovery")


class Step(NamedTuple):
    """`take`: the list that is held is to be put in force. `ask`: discovery is to be watched here."""

    apply_relayed_list: bool
    watch_discovery: bool
    wake_at: int


class EndpointSource:
    """`told` is discovery's number of the list in force at the start, None without one. `patience` is for how long
    control machines are waited for then.
    """

    def __init__(self, now: int, chance: Random, told: int | None, patience: int = START_WAIT_US) -> None:
        self._chance = chance
        self.active, self.since = UNDECIDED, now
        self.switches_to_discovery = self.switches_to_control = 0
        self._ask_at = now + (patience + chance.randrange(START_SPREAD) if patience > 0 else 0)
        # What the subscription holds: its version there, and discovery's number of it, None where it is of another
        # discovery.
        self._held: tuple[Version, int | None] = (NO_VERSION, None)
        self._taken = NO_VERSION  # the last of them that was put in force
        self._number: int | None = told  # discovery's, of what is in force
        # The newest word: of which version, and when discovery spoke, by the clock here.
        self._word: tuple[Version, int] | None = None
        self._spoke_at: int | None = None  # when discovery last spoke of what control machines had in force here
        self._limit = self._drawn_limit()
        # What discovery told here since a list of control machines was put in force, and when.
        self._told, self._told_at = told, -1
        self._back_at: int | None = None
        self._returned_at: int | None = None
        self._stay = STAY

    # --- what is heard ------------------------------------------------------------------------------

    def set_relayed_version(self, version: Version, number: int | None) -> None:
        if version > self._held[0]:
            self._held = version, number

    def set_relayed_discovery_version(self, number: int | None) -> None:
        """Of the list held: which discovery is meant here may change."""
        self._held = self._held[0], number

    def confirm_relayed_version(self, version: Version, spoke_at: int) -> None:
        if self._word is None or (version, spoke_at) > self._word:
            self._word = version, spoke_at

    def set_discovery_version(self, number: int, now: int) -> None:
        """Discovery told a list of this number here."""
        self._number = self._told = number
        self._told_at = now

    def age(self, now: int) -> int | None:
        """Of discovery's last word as control machines told it, of the list held; None without one."""
        spoke_at = self._confirmed()
        return None if spoke_at is None else now - spoke_at

    # --- what follows -------------------------------------------------------------------------------

    def _drawn_limit(self) -> int:
        return LEAVE_AFTER + self._chance.randrange(LEAVE_SPREAD)

    def _confirmed(self) -> int | None:
        """When discovery last spoke of the list held; nothing where the newest word is of another one."""
        return self._word[1] if self._word is not None and self._word[0] == self._held[0] else None

    def _sound(self) -> bool:
        """Whether the list held may stand in for what discovery told here."""
        number, spoke_at = self._held[1], self._confirmed()
        if number is None or spoke_at is None:
            return False
        return self._told is None or (number >= self._told and spoke_at >= self._told_at)

    def _take(self) -> bool:
        """Whether there is something to be taken; from then on it is what is in force."""
        news = self._held[0] != self._taken or self._told is not None
        self._taken, self._told, self._number = self._held[0], None, self._held[1]
        return news

    def step(self, now: int, watched: bool) -> Step:
        """`watched`: a watch of discovery has spoken here, and stands."""
        if self.active == CONTROL:
            return self._relayed(now)
        spoke_at = self._confirmed()
        sound = self._sound()
        if sound and spoke_at is not None and now - spoke_at < LEAVE_AFTER:
            if self._back_at is None:
                self._back_at = now + (self._stay + self._chance.randrange(self._stay) if watched else 0)
            if not watched or now >= self._back_at:
                # A start is no coming back.
                self._returned_at = now if self.active == DISCOVERY else None
                self.active, self.since, self._spoke_at = CONTROL, now, spoke_at
                self._limit, self._back_at = self._drawn_limit(), None
                self.switches_to_control += 1
                # Taken in any case: whoever was told that the list is lost is told that it is not.
                self._taken = NO_VERSION
                return self._relayed(now)
        else:
            self._back_at = None
        # Old as it is, it is newer than what stands here, and nobody else tells any.
        take = sound and not watched and self._held[0] != self._taken and self._take()
        if self.active == UNDECIDED:
            if now < self._ask_at:
                return Step(take, False, self._ask_at)
            self._leave(now)
        return Step(take, True, now + LOOK_EVERY if self._back_at is None else max(self._back_at, now + 1))

    def _leave(self, now: int) -> None:
        if self._returned_at is not None and now - self._returned_at < AGAIN_WITHIN:
            self._stay = min(2 * self._stay, STAY_MOST)
        else:
            self._stay = STAY
        self.active, self.since = DISCOVERY, now
        self.switches_to_discovery += 1

    def _relayed(self, now: int) -> Step:
        number, spoke_at = self._held[1], self._confirmed()
        # A greater number is taken before its word comes. Without a word a lower one may be of an old disk; with one,
        # discovery began anew.
        sure = spoke_at is not None or (number is not None and number >= (self._number or 0))
        take = number is not None and sure and self._take()
        if spoke_at is not None:
            self._spoke_at = max(spoke_at, self._spoke_at or spoke_at)
        assert self._spoke_at is not None, "went over to control machines without a word of theirs"
        due = self._spoke_at + self._limit
        if number is None or now >= due:
            self._leave(now)
            return Step(take, True, now + LOOK_EVERY)
        return Step(take, False, due)
