"""Peer protocol: router instances exchange status, log entries and state over Thrift."""
