"""Mesh of nodes that route requests to the targets that own their keys."""
