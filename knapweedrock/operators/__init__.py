"""Commands for operators: queries to nodes, and the output of their results."""
