"""Simulated time, network, engines and clients that run the real decision modules without sockets or real clocks."""
