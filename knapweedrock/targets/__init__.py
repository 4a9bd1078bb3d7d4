"""Handle targets: announcement, admission and delivery of requests."""
