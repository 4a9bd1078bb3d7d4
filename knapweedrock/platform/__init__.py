"""Speak to the users' platform: names, formats and calls."""
