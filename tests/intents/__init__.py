"""Tests of the intents package."""
