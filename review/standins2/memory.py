"""Memory of a process as the platform counts it.

DEPLOY.md: a process that exceeds `memoryMb` is killed, and bytes that have
been received and not yet read count.
"""

import os

MIB = 1024 * 1024


def resident_bytes(pid: int) -> int:
    """Return the memory of a process that is in use."""
    with open(f"/proc/{pid}/status", encoding="ascii") as lines:
        for line in lines:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
    raise OSError(f"process {pid} has no VmRSS")


def unread_bytes(pid: int) -> tuple[int, int]:
    """Return what a process's sockets have received and it has not read.

    With it comes the number of its connections.
    """
    own = set()
    for name in os.listdir(f"/proc/{pid}/fd"):
        try:
            target = os.readlink(f"/proc/{pid}/fd/{name}")
        except OSError:
            continue
        if target.startswith("socket:["):
            own.add(target[8:-1])
    total = count = 0
    with open("/proc/net/tcp", encoding="ascii") as lines:
        for fields in (line.split() for line in list(lines)[1:]):
            is_listening = fields[3] == "0A"
            if fields[9] in own and not is_listening:
                total += int(fields[4].partition(":")[2], 16)
                count += 1
    return total, count
