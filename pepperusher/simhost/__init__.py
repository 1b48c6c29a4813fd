"""Adapter between the simulator's protocol and the decision module; it keeps timers and tickets and decides nothing."""
