"""Setup of behave: patches the standard library for gevent, configures hypothesis."""

from gevent import monkey

monkey.patch_all()

import tempfile  # noqa: E402
from pathlib import Path  # noqa: E402

from hypothesis.configuration import set_hypothesis_home_dir  # noqa: E402

# Hypothesis stores files that contain paths of the machine; keep them out of the tree.
set_hypothesis_home_dir(Path(tempfile.gettempdir()) / "hypothesis")
