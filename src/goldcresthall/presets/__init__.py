"""Validation, publication and uptake of presets."""
