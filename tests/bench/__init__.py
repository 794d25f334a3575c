"""Tests of the benchmarks and of the example presets."""
