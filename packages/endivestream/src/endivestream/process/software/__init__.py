"""Software versions of targets, at the leader."""
