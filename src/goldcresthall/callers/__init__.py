"""The callers' front end over HTTP."""
