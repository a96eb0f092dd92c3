"""Adapter to the Mill Race Trust platform.

Names that belong to the platform are used in this package only.
"""
