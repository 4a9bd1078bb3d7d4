"""Entry point: patches the standard library for gevent, then runs the program."""

from gevent import monkey

monkey.patch_all()

from knapweedrock.core import main  # noqa: E402

if __name__ == "__main__":
    main()
