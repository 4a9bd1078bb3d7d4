"""Hooks of behave: what every scenario starts with and leaves behind."""

from gevent import monkey

monkey.patch_all()

import tempfile  # noqa: E402
from pathlib import Path  # noqa: E402

from hypothesis.configuration import set_hypothesis_home_dir  # noqa: E402

# Its notes name paths of the machine, which do not belong beside the code.
set_hypothesis_home_dir(Path(tempfile.gettempdir()) / "hypothesis")
