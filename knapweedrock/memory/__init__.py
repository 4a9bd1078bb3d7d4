"""Memory that a process holds for its callers."""
