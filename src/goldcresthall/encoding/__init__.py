"""Encodings of core types; nothing here decides anything."""
