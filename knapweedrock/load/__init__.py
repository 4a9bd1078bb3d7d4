"""Load program: sends open-loop load to nodes and reports the results."""
