"""Model of the systems that nodes serve, in virtual time and without a network."""
