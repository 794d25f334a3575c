"""Non-idempotent work at most once, over all instances and through their loss."""
