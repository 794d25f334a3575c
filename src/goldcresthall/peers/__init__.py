"""How router instances follow each other over thrift."""
