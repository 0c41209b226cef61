"""Adapter to the users' platform: it only translates, both ways."""
