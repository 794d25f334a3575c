"""Key ownership: placement, leases that keep ownership exclusive, and moves."""
