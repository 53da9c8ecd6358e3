"""Crowds of clients that cost a manager memory or processor time, and what usual clients see beside them."""
