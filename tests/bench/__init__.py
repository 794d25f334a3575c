"""Tests of the load and experiment tool and of the example presets."""
