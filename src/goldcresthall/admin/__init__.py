"""The operators' front end: health, metrics, status, explanations and presets."""
