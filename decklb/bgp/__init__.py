"""A minimal BGP-4 speaker (RFC 4271) that announces the service's address while the program is ready.

`speaker` maintains a connection to each peer, `connection` is the TCP connection, `session` the state machine without
I/O, `messages` the codec, `errors` the NOTIFICATION codes, and `settings` the `bgp` section of the configuration.
"""
