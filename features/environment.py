"""Hooks of behave: what every scenario starts with and leaves behind."""

from gevent import monkey

monkey.patch_all()
