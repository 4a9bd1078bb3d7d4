"""Commands of operators: what they ask nodes, and how it is shown."""
