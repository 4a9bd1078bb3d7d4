"""Quotas of workspaces, which all nodes together keep."""
