"""Presets: checking, publishing and watching them take hold."""
