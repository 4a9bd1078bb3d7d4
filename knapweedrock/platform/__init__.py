"""Talk to the platform's object API."""

from knapweedrock.platform import http as http
