"""A randomized soak test: nodes as processes, with faults injected from outside."""
