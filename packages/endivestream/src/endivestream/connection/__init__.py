"""What lives as long as one connection: links, exchanges, target sessions."""
