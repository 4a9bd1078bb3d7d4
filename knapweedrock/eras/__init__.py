"""Eras of the platform's store: one begins each time it comes back from a copy.

Within an era an acknowledged write stays, and a revision names one state.
"""
