"""Services of a running process: settings, roles, metrics, HTTP routes."""
