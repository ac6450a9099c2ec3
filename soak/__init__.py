"""A randomized soak: real nodes as processes, with faults from outside them."""
