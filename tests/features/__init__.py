"""Scripted scenarios: one feature file for each promise."""
