"""Stand-ins of targets, callers and the platform for the cases of the review."""
