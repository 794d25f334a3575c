"""At-most-once execution of non-idempotent requests, across instances and failures."""
