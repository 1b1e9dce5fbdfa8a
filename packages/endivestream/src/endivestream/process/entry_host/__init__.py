"""What an entry host uses of its resources, and what it reports of that."""
