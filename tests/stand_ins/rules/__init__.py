"""Tests of the checker of the rules on records made by hand."""
