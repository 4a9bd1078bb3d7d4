"""Experiments that measure the mesh, each by one command."""
