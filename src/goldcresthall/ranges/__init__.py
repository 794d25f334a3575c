"""Key-range ownership: the ownership table, the lessor and owner lookup for requests."""
