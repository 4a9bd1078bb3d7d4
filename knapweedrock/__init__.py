"""Router for servers that own keys exclusively, and its library for ownership."""

__version__ = "0.1.0"
