"""A whole deployment in one process on loopback, with losses under load."""

from knapweedrock.demo.program import run_demo

__all__ = ["run_demo"]
