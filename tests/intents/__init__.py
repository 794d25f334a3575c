"""Tests of the intents area."""
