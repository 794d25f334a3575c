"""Encodings of core types, free of decision logic."""
