"""Workspaces: groups of callers with credentials, a priority and a quota."""
