"""Replays load patterns against the deciders of a site in virtual time."""
