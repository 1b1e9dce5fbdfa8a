"""Objects that live as long as one connection: links, exchanges, sessions."""
