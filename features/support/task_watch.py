"""Record of the unexpected errors of a mesh's tasks."""

import gevent
from logbook import TestHandler


def watch_tasks(context) -> None:
    """Record failed tasks and uncaught errors of other greenlets from now on."""
    context.logged = TestHandler()
    context.logged.push_application()
    context.add_cleanup(context.logged.pop_application)
    hub, context.greenlet_errors = gevent.get_hub(), []
    handle_error = hub.handle_error

    def record_error(task, kind, error, traceback) -> None:
        if not issubclass(kind, gevent.GreenletExit):
            context.greenlet_errors.append((task, error))
        handle_error(task, kind, error, traceback)

    hub.handle_error = record_error
    context.add_cleanup(setattr, hub, "handle_error", handle_error)
