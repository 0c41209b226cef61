"""Adapter between the users' platform and the product.

It only translates: the platform's HTTP calls, stored documents and settings
file into the product's own types, and replies back.
"""
