"""Harness of the tests: processes, callers, histories and test data."""
