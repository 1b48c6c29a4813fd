"""Decides whether a proxy uses the list of endpoints that control machines relay, or watches discovery itself; free of
I/O.

The limit to be met: a change takes effect within 6 s after discovery had it, if discovery was reachable. A proxy's own
watch that falls silent is dropped after 2.5 to 3 s (`net.call_schedule.WATCH_SILENCE_TIMEOUT_S`, `SPREAD`), so that a
second call can be made before the 6 s are over. The same applies here, measured by discovery's last confirmation and
not by the control machine's: a relayed list that discovery last confirmed 2.5 to 3 s ago is given up for a watch of
discovery, however many control machines are still alive. So what the owner of the list missed is asked for no later
than what an own watch missed. In both cases the transit time of the last confirmation is not counted.

The proxy returns to the control machines only after a fresh confirmation of the relayed list that is later than what
discovery itself told the proxy, and only if the relayed list is not older than that.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from pepperusher.distribution.messages import NO_VERSION, Version

# The time without a confirmation by discovery after which the relayed list is given up, plus a random spread, since the
# confirmations stop for all proxies at the same moment. Both are those of `net.call_schedule` for a watch.
STALE_AFTER_US = 2_500_000
STALE_SPREAD_US = 500_000
# How long a starting proxy waits for control machines, plus a random spread that is as wide as that of a start with
# discovery. The last proxy asks discovery after 3.5 s, which leaves 2.5 s for the answer.
START_WAIT_US = 1_500_000
START_SPREAD_US = 2_000_000
# How long an own watch is kept after control machines are fresh again, drawn up to twice that. A watch costs discovery
# little, and a proxy need not follow an owner that is lost and returns repeatedly. The time is doubled if the proxy
# switched to discovery again within REPEAT_WINDOW_US.
MIN_WATCH_US = 5_000_000
MAX_MIN_WATCH_US = 30_000_000
REPEAT_WINDOW_US = 60_000_000
STEP_INTERVAL_US = 250_000

UNDECIDED, CONTROL, DISCOVERY = range(3)
SOURCE_NAMES = ("nobody yet", "control machines", "discovery")


class Step(NamedTuple):
    """`apply_relayed_list`: the relayed list is to be put in force. `watch_discovery`: this proxy is to watch discovery
    itself. `wake_at`: when to call `step` again.
    """

    apply_relayed_list: bool
    watch_discovery: bool
    wake_at: int


class EndpointSource:
    """The state of the decision. `discovery_version` is that of the list in force at the start, None without one.
    `start_wait` is how long control machines are waited for at the start.
    """

    def __init__(
        self, now: int, random: Random, discovery_version: int | None, start_wait: int = START_WAIT_US
    ) -> None:
        self._random = random
        self.active, self.since = UNDECIDED, now
        self.switches_to_discovery = self.switches_to_control = 0
        self._watch_at = now + (start_wait + random.randrange(START_SPREAD_US) if start_wait > 0 else 0)
        # The newest relayed list: its version as a resource, and discovery's version of it, None if it comes from
        # another discovery than this proxy would ask.
        self._relayed: tuple[Version, int | None] = (NO_VERSION, None)
        self._applied = NO_VERSION  # the relayed version put in force last
        self._discovery_version: int | None = discovery_version  # discovery's version of the list in force
        # The newest confirmation: the resource version it refers to, and its time by the local clock.
        self._confirmation: tuple[Version, int] | None = None
        self._last_confirmed_at: int | None = None  # when discovery last confirmed the relayed list that was in force
        self._stale_after = self._random_stale_after()
        # What discovery itself told this proxy since a relayed list was put in force, and when.
        self._own_version, self._own_version_at = discovery_version, -1
        self._return_at: int | None = None
        self._returned_at: int | None = None
        self._min_watch = MIN_WATCH_US

    # --- inputs -------------------------------------------------------------------------------------

    def set_relayed_version(self, version: Version, discovery_version: int | None) -> None:
        """Records a newer relayed list: its version as a resource, and discovery's version of it."""
        if version > self._relayed[0]:
            self._relayed = version, discovery_version

    def set_relayed_discovery_version(self, discovery_version: int | None) -> None:
        """Sets discovery's version of the relayed list, which depends on which discovery this proxy is
        configured with.
        """
        self._relayed = self._relayed[0], discovery_version

    def confirm_relayed_version(self, version: Version, confirmed_at: int) -> None:
        """Records that discovery confirmed this version at this time of the local clock."""
        if self._confirmation is None or (version, confirmed_at) > self._confirmation:
            self._confirmation = version, confirmed_at

    def set_discovery_version(self, discovery_version: int, now: int) -> None:
        """Records that discovery itself told this proxy a list with this version."""
        self._discovery_version = self._own_version = discovery_version
        self._own_version_at = now

    def age_us(self, now: int) -> int | None:
        """us since discovery confirmed the relayed list; None without a confirmation."""
        confirmed_at = self._confirmed_at()
        return None if confirmed_at is None else now - confirmed_at

    # --- decisions ----------------------------------------------------------------------------------

    def _random_stale_after(self) -> int:
        return STALE_AFTER_US + self._random.randrange(STALE_SPREAD_US)

    def _confirmed_at(self) -> int | None:
        """When discovery last confirmed the relayed list; None if the newest confirmation refers to another version."""
        return (
            self._confirmation[1]
            if self._confirmation is not None and self._confirmation[0] == self._relayed[0]
            else None
        )

    def _relayed_list_is_current(self) -> bool:
        """Whether the relayed list is at least as new as what discovery itself told this proxy."""
        discovery_version, confirmed_at = self._relayed[1], self._confirmed_at()
        if discovery_version is None or confirmed_at is None:
            return False
        return self._own_version is None or (
            discovery_version >= self._own_version and confirmed_at >= self._own_version_at
        )

    def _apply_relayed(self) -> bool:
        """Marks the relayed list as the one in force. Returns whether that is a change."""
        changed = self._relayed[0] != self._applied or self._own_version is not None
        self._applied, self._own_version, self._discovery_version = self._relayed[0], None, self._relayed[1]
        return changed

    def step(self, now: int, watched: bool) -> Step:
        """Decides what to do now. `watched` says that this proxy's watch of discovery is established and has received a
        message.
        """
        if self.active == CONTROL:
            return self._step_with_control(now)
        confirmed_at = self._confirmed_at()
        current = self._relayed_list_is_current()
        if current and confirmed_at is not None and now - confirmed_at < STALE_AFTER_US:
            if self._return_at is None:
                self._return_at = now + (self._min_watch + self._random.randrange(self._min_watch) if watched else 0)
            if not watched or now >= self._return_at:
                # The first choice after a start does not count as a return.
                self._returned_at = now if self.active == DISCOVERY else None
                self.active, self.since, self._last_confirmed_at = CONTROL, now, confirmed_at
                self._stale_after, self._return_at = self._random_stale_after(), None
                self.switches_to_control += 1
                # The list is applied in any case, to end the state in which the list counts as lost.
                self._applied = NO_VERSION
                return self._step_with_control(now)
        else:
            self._return_at = None
        # The relayed list is not fresh, but it is newer than the one in force, and there is no other source.
        apply_relayed_list = current and not watched and self._relayed[0] != self._applied and self._apply_relayed()
        if self.active == UNDECIDED:
            if now < self._watch_at:
                return Step(apply_relayed_list, False, self._watch_at)
            self._switch_to_discovery(now)
        return Step(
            apply_relayed_list,
            True,
            now + STEP_INTERVAL_US if self._return_at is None else max(self._return_at, now + 1),
        )

    def _switch_to_discovery(self, now: int) -> None:
        """Gives up the relayed list for an own watch of discovery."""
        if self._returned_at is not None and now - self._returned_at < REPEAT_WINDOW_US:
            self._min_watch = min(2 * self._min_watch, MAX_MIN_WATCH_US)
        else:
            self._min_watch = MIN_WATCH_US
        self.active, self.since = DISCOVERY, now
        self.switches_to_discovery += 1

    def _step_with_control(self, now: int) -> Step:
        """Decides while the relayed list is in use: whether to apply a new one, and whether it is stale."""
        discovery_version, confirmed_at = self._relayed[1], self._confirmed_at()
        # A greater version is applied before its confirmation arrives. A lower one without a confirmation may come from
        # an outdated disk; with one, discovery has restarted its numbering.
        acceptable = confirmed_at is not None or (
            discovery_version is not None and discovery_version >= (self._discovery_version or 0)
        )
        apply_relayed_list = discovery_version is not None and acceptable and self._apply_relayed()
        if confirmed_at is not None:
            self._last_confirmed_at = max(confirmed_at, self._last_confirmed_at or confirmed_at)
        assert self._last_confirmed_at is not None, "switched to control machines without a confirmation"
        stale_at = self._last_confirmed_at + self._stale_after
        if discovery_version is None or now >= stale_at:
            self._switch_to_discovery(now)
            return Step(apply_relayed_list, True, now + STEP_INTERVAL_US)
        return Step(apply_relayed_list, False, stale_at)
