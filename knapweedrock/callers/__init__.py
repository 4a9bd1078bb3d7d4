"""Handle callers: the HTTP entrance and the routing of their requests."""
