"""The second front: the PostgreSQL wire protocol (3.0) on both sides of the same dispatcher."""
