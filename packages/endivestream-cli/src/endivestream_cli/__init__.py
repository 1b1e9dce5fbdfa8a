"""The operators' command of endivestream."""
