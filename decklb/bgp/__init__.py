"""A small BGP-4 speaker (RFC 4271) that announces the service address while the program is ready."""
