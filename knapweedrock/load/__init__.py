"""Load program: open-loop arrivals against nodes and a report of what came back."""
