"""HTTP interface for operators: health, metrics, status, ownership and presets."""
