"""Checks a record of a run against the rules of the platform, apart from any fault injection.

Checked: OWNER, DRAIN, LOST, TWICE, REFUSED, MIXED, UNASKED, BUDGET, GONE and CONFIG, each named
in the docstring of its module. Not yet checked: ROUTE, DENIED and RECOVER; of DRAIN, what an
instance has acknowledged to the store itself; of BUDGET, calls that a repeated run makes; of
CONFIG, the longer bound for instances that lose only the store.
"""
