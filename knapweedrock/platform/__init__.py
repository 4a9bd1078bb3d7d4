"""Talk to the platform's object API."""
