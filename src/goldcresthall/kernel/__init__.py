"""Micro-kernel: a registry of named services, their startup and shutdown order, and tasks."""
