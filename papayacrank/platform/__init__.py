"""Adapter to the users' platform: settings, wire forms, processes.

Only this subpackage knows the names of the platform; it translates them into the
types of the product and decides nothing.
"""
