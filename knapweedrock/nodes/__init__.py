"""Coordinate with the system's own nodes: links, leases and ownership."""
