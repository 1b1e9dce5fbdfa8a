"""What lives as long as the process: settings, logs, roles, HTTP routes."""
