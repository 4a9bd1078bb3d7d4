"""Emulators of the platform's store and of targets for tests and demonstrations."""
