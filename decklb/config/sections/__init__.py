"""Readers for the sections of the operators' XML, one module for each.

Functions named `translate_...` write a section into the raw configuration (a dictionary with the structure of the
platform's JSON). Functions named `read_...` return the settings of a subsystem that the JSON can't configure.
"""
