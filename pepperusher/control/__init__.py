"""The control socket: who may ask the running proxy, and change it, from this machine."""
