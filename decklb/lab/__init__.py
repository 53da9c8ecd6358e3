"""The laboratory: experiments that run the real modules on simulated time, and fault runs with real processes.

The daemon uses nothing from this package.
"""
