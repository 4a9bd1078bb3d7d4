"""Changes to constants that last for one scenario."""

from unittest import mock


def patch(context, module, **values) -> None:
    """Replace constants of a module until the scenario ends."""
    for name, value in values.items():
        patcher = mock.patch.object(module, name, value)
        patcher.start()
        context.add_cleanup(patcher.stop)
