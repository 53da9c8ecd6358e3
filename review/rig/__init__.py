"""Stand-ins and helpers of the review's cases: standard library only, loopback addresses only.

`fleet` alone uses more: the program's own key file and the network proxy of its laboratory.
"""
