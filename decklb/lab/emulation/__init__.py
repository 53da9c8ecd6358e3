"""Simulated time, network, engines and clients around the real decision modules; free of sockets and real clocks."""
