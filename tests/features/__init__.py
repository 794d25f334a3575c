"""Scenarios over real processes; each feature file covers one guarantee."""
