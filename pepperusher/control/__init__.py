"""The control socket, through which operators query and control a running proxy from the same machine."""
