"""The broadcast queue sends broadcasts in the right order and a limited number of times."""

from __future__ import annotations

from decklb.cluster.broadcast_queue import BroadcastQueue


def test_broadcasts_sent_least_often_go_first_and_each_is_sent_a_limited_number_of_times():
    queue = BroadcastQueue()
    for i in range(4):
        queue.add(i, bytes([i]) * 100)
    assert queue.take(250, 2) == [bytes([0]) * 100, bytes([1]) * 100]
    assert [message[0] for message in queue.take(250, 2)] == [2, 3]
    queue.add(0, bytes([9]) * 100)  # a newer broadcast on the same subject is counted from 0
    assert [message[0] for message in queue.take(450, 2)] == [9, 1, 2, 3]
    assert [message[0] for message in queue.take(450, 2)] == [9]
    assert len(queue) == 0
