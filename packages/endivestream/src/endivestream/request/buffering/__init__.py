"""Memory that an entry host holds for slow readers, and its bounds."""
