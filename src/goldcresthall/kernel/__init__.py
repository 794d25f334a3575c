"""The micro-kernel: named services, their order of start and stop, and their tasks."""
