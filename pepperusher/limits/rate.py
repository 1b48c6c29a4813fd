"""How often: a token bucket that says when to come back, and retries held to a share of what was done."""

from __future__ import annotations


class Bucket:
    """`rate` a second in the long run, `burst` at once. Times are us."""

    __slots__ = ("rate", "burst", "_held", "_at")

    def __init__(self, rate: float, burst: float, now: int) -> None:
        self.rate = rate
        self.burst = burst
        self._held = burst
        self._at = now

    def change(self, rate: float, burst: float) -> None:
        """Other terms from now on; what is held stays, up to the new burst: a change is no new burst."""
        self.rate, self.burst = rate, burst
        self._held = min(self._held, burst)

    def _fill(self, now: int) -> None:
        self._held = min(self.burst, self._held + self.rate * max(0, now - self._at) / 1e6)
        self._at = max(self._at, now)

    def take(self, now: int) -> int:
        """0 and one is taken, or in how long (us) there is one."""
        self._fill(now)
        if self._held >= 1.0:
            self._held -= 1.0
            return 0
        return max(1, round((1.0 - self._held) / self.rate * 1e6)) if self.rate > 0 else -1

    def full(self, now: int) -> bool:
        """Whether it has stood unused until it was full, so that it can be forgotten without a loss."""
        self._fill(now)
        return self._held >= self.burst


class Buckets:
    """One bucket a customer, made as they come. Those that stand full are forgotten, and if `most` stand in
    use, those who are new share one: customers are outsiders' words, and a flood of names must not be a flood
    of memory."""

    def __init__(self, rate: float, burst: float, most: int = 1000) -> None:
        self._rate = rate
        self._burst = burst
        self._most = most
        self._held: dict[str, Bucket] = {}  # emptied when full, MOST at the most
        self._others: Bucket | None = None

    def change(self, rate: float, burst: float) -> None:
        self._rate, self._burst = rate, burst
        for bucket in (*self._held.values(), *(() if self._others is None else (self._others,))):
            bucket.change(rate, burst)

    def __len__(self) -> int:
        return len(self._held)

    def take(self, customer: str, now: int) -> int:
        """0 and one is taken, or in how long (us) there is one; -1 never."""
        bucket = self._held.get(customer)
        if bucket is None:
            if len(self._held) >= self._most:
                self.sweep(now)
            if len(self._held) >= self._most:
                if self._others is None:
                    self._others = Bucket(self._rate, self._burst, now)
                return self._others.take(now)
            bucket = self._held[customer] = Bucket(self._rate, self._burst, now)
        return bucket.take(now)

    def sweep(self, now: int) -> None:
        for customer, bucket in list(self._held.items()):
            if bucket.full(now):
                del self._held[customer]


class RetryBudget:
    """Further attempts are held to `share` of first ones, and `floor` a second in any case.

    As Finagle's RetryBudget has it: each first attempt puts in `share`, each further one takes out 1,
    and what is put in is gone after `span`. Kept by tenths of the span, so it holds ten figures.
    """

    __slots__ = ("_share", "_floor", "_tenth", "_firsts", "_furthers", "_at")

    def __init__(self, share: float, floor: float, span: int, now: int) -> None:
        self._share = share
        self._floor = floor
        self._tenth = max(1, span // 10)
        self._firsts = [0] * 10
        self._furthers = [0] * 10
        self._at = now // self._tenth

    def change(self, share: float, floor: float) -> None:
        self._share, self._floor = share, floor

    def _turn(self, now: int) -> int:
        at = now // self._tenth
        for passed in range(self._at + 1, min(at, self._at + 10) + 1):
            self._firsts[passed % 10] = self._furthers[passed % 10] = 0
        self._at = max(self._at, at)
        return self._at % 10

    def record_first_attempt(self, now: int) -> None:
        self._firsts[self._turn(now)] += 1

    def try_retry(self, now: int) -> bool:
        """Whether one more may go; if so it is counted."""
        place = self._turn(now)
        allowed = self._share * sum(self._firsts) + self._floor * self._tenth * 10 / 1e6
        if sum(self._furthers) + 1 > allowed:
            return False
        self._furthers[place] += 1
        return True

    def refund_retry(self, now: int) -> None:
        """One that was counted did not go."""
        place = self._turn(now)
        if self._furthers[place]:
            self._furthers[place] -= 1
