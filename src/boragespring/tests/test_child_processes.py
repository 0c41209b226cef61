"""Ports for processes that tests and benchmarks start."""

from boragespring import child_processes


def test_processes_with_consecutive_ids_find_different_ports(monkeypatch):
    found = []
    for pid in range(4_000, 4_006):
        monkeypatch.setattr(child_processes.os, "getpid", lambda pid=pid: pid)
        found.append(set(child_processes.free_ports(100)))
    assert sum(map(len, found)) == len(set.union(*found)) == 600
