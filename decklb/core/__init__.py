"""The part that knows no wire: requests, attempts, time, and the decision module."""
