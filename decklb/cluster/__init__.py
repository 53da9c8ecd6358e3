"""Several instances: who is alive, and which of them does which periodic duty.

The decisions know no socket, clock or logger: time and randomness come in as arguments, datagrams go out as values.
"""
