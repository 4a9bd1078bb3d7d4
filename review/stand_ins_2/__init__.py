"""Stand-ins of the platform, backends and clients for the scripts of this review."""
