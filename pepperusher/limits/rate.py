"""Rate limits: token buckets that return the time until the next token, and a retry budget."""

from __future__ import annotations


class Bucket:
    """A token bucket: `rate` tokens a second on average, at most `burst` at once. Times are microseconds."""

    __slots__ = ("rate", "burst", "_tokens", "_updated_at")

    def __init__(self, rate: float, burst: float, now: int) -> None:
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._updated_at = now

    def change(self, rate: float, burst: float) -> None:
        """Applies new limits. The tokens stay, up to the new burst, so a change grants no extra burst."""
        self.rate, self.burst = rate, burst
        self._tokens = min(self._tokens, burst)

    def _refill(self, now: int) -> None:
        """Adds the tokens that are due since the last call."""
        self._tokens = min(self.burst, self._tokens + self.rate * max(0, now - self._updated_at) / 1e6)
        self._updated_at = max(self._updated_at, now)

    def take(self, now: int) -> int:
        """Takes a token and returns 0, or returns the time (us) until one is available; -1 if never."""
        self._refill(now)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0
        return max(1, round((1.0 - self._tokens) / self.rate * 1e6)) if self.rate > 0 else -1

    def is_full(self, now: int) -> bool:
        """Returns whether it has refilled completely, so that it can be removed without a loss."""
        self._refill(now)
        return self._tokens >= self.burst


class Buckets:
    """One token bucket per customer, created on first use.

    Full buckets are removed. While `max_buckets` of them are in use, new customers share one: customer names come from
    outside, and a flood of names must not exhaust memory.
    """

    def __init__(self, rate: float, burst: float, max_buckets: int = 1000) -> None:
        self._rate = rate
        self._burst = burst
        self._max_buckets = max_buckets
        self._buckets: dict[str, Bucket] = {}  # removed when full; at most `max_buckets`
        self._shared_bucket: Bucket | None = None

    def change(self, rate: float, burst: float) -> None:
        """Applies new limits to all buckets."""
        self._rate, self._burst = rate, burst
        for bucket in (*self._buckets.values(), *(() if self._shared_bucket is None else (self._shared_bucket,))):
            bucket.change(rate, burst)

    def __len__(self) -> int:
        return len(self._buckets)

    def take(self, customer: str, now: int) -> int:
        """Takes a token and returns 0, or returns the time (us) until one is available; -1 if never."""
        bucket = self._buckets.get(customer)
        if bucket is None:
            if len(self._buckets) >= self._max_buckets:
                self.sweep(now)
            if len(self._buckets) >= self._max_buckets:
                if self._shared_bucket is None:
                    self._shared_bucket = Bucket(self._rate, self._burst, now)
                return self._shared_bucket.take(now)
            bucket = self._buckets[customer] = Bucket(self._rate, self._burst, now)
        return bucket.take(now)

    def sweep(self, now: int) -> None:
        """Removes full buckets."""
        for customer, bucket in list(self._buckets.items()):
            if bucket.is_full(now):
                del self._buckets[customer]


class RetryBudget:
    """Limits retries to `ratio` of the first attempts, plus `min_rate` a second in any case.

    As in Finagle's RetryBudget, each first attempt deposits `ratio`, each retry withdraws 1, and deposits expire after
    `span`. The counts are kept for ten equal parts of the span.
    """

    __slots__ = ("_ratio", "_min_rate", "_part_us", "_first_attempts", "_retries", "_current_part")

    def __init__(self, ratio: float, min_rate: float, span: int, now: int) -> None:
        self._ratio = ratio
        self._min_rate = min_rate
        self._part_us = max(1, span // 10)
        self._first_attempts = [0] * 10
        self._retries = [0] * 10
        self._current_part = now // self._part_us

    def change(self, ratio: float, min_rate: float) -> None:
        self._ratio, self._min_rate = ratio, min_rate

    def _advance(self, now: int) -> int:
        """Clears the parts of the span that have expired; returns the index of the current part."""
        current = now // self._part_us
        for expired in range(self._current_part + 1, min(current, self._current_part + 10) + 1):
            self._first_attempts[expired % 10] = self._retries[expired % 10] = 0
        self._current_part = max(self._current_part, current)
        return self._current_part % 10

    def record_first_attempt(self, now: int) -> None:
        self._first_attempts[self._advance(now)] += 1

    def try_retry(self, now: int) -> bool:
        """Returns whether one more retry is allowed, and counts it if so."""
        index = self._advance(now)
        allowed = self._ratio * sum(self._first_attempts) + self._min_rate * self._part_us * 10 / 1e6
        if sum(self._retries) + 1 > allowed:
            return False
        self._retries[index] += 1
        return True

    def refund_retry(self, now: int) -> None:
        """Refunds a counted retry that was not sent."""
        index = self._advance(now)
        if self._retries[index]:
            self._retries[index] -= 1
