"""Checks a record of a run against the rules of the platform, apart from any fault injection.

Not yet checked: UNASKED, LOST, BUDGET, GONE, CONFIG.
"""
