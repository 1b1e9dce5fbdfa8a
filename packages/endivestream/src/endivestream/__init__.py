"""Serves many models on few accelerators, over many small hosts.

The file to read first is `process/daemon.py`: it builds every long-lived
part of one process and shows how they are wired. The packages are laid out
by life span: `request`, `connection`, `version` and `process`.
"""

__version__ = "0.1.0"
