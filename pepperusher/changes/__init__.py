"""Changes of configuration as transactions: proposed, staged, applied at one instant, confirmed or undone."""
