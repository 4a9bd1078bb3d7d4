"""Router for servers that own keys exclusively, and its coordination library."""

__version__ = "0.1.0"
