"""Replay of the platform's log to one state, the same in every instance."""
