"""Pass-through flows: packets between ends that do their own handshake and repeats."""
