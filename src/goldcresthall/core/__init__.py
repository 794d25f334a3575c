"""Core types: frozen data classes without knowledge of encodings or transports."""
