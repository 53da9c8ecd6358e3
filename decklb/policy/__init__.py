"""The decisions of decklb, without sockets, files, clocks or loggers. The way in is `gateway.Gateway`."""
