"""Limits applied before the breakers: concurrency, rates, retries and the admission queue. None of them selects a
backend."""
