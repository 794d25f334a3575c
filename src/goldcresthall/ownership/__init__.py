"""Which server owns which keys, and the leases that keep it the only one."""
