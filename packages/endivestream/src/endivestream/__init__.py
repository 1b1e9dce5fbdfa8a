"""Serves many models on few accelerators, over many small hosts.

Start reading at `process/daemon.py`: it creates every long-lived object of a
process and shows how they are connected. The packages are organized by
lifetime: `request`, `connection`, `version` and `process`.
"""

__version__ = "0.1.0"
