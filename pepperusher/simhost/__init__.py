"""The adapter between the bench's wire and the decision module; it keeps timers and tickets and decides nothing."""
