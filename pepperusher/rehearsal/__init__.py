"""Load tests (rehearsals): an emulated fleet, load generators, checks of the rules, and experiments. `serve` imports none of this."""
