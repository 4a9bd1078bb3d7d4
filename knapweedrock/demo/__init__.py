"""A deployment in one process on loopback that loses VMs and zones under load."""

from knapweedrock.demo.program import run_demo

__all__ = ["run_demo"]
