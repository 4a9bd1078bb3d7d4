"""Serve operators: tickets, status, dumps and metrics."""
