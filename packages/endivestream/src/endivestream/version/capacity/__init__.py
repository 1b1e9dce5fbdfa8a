"""Capacity of slot-bound engines, and worth of placement steps. Pure."""
