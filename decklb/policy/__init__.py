"""The policy of a gateway: decides on events which actions to take, without sockets, files, clocks or logs.

The entry point is `gateway.Gateway`.
"""
