"""Serve callers through the nodes of a deployment whose targets hold their keys."""
