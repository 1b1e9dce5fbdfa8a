"""Order in which requests wait for the slots of engines. Does no I/O."""
