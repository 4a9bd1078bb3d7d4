"""Waiting for tasks in a way that notices those that hang."""

import gevent


def finish_all(tasks: list[gevent.Greenlet], timeout_s: float = 20.0) -> list:
    """Return the values of all tasks; raise where one failed or has not ended."""
    gevent.joinall(tasks, timeout_s)
    return [task.get(block=False) for task in tasks]
