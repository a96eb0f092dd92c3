"""Counts the messages of quotas in simulated fleets.

Run ``python -m tests.core.measure_quotas``.
"""

from tests.core.quotafleet import make_account
from tests.core.quotafleet import QuotaFleet

SIZES = (71, 300)
ACCOUNTS = 40
SETTLED_S = 5.0
MEASURED_S = 20.0
# Requests a second of all accounts together, evenly over all instances.
LOADS_PER_S = (0.0, 400.0)


def measure(machines: int, per_s: float) -> str:
    """Return the messages and bytes a second of a fleet."""
    accounts = [make_account(f"a{n}", 40.0, 20.0) for n in range(ACCOUNTS)]
    fleet = QuotaFleet(
        machines=machines, accounts=accounts, measures_bytes=True
    )
    end_s = SETTLED_S + MEASURED_S
    for account in accounts if per_s else ():
        load = per_s / ACCOUNTS
        fleet.load(account.name, load, since_s=1.0, until_s=end_s)
    fleet.run(SETTLED_S)
    fleet.reset_counts()
    fleet.run(end_s)
    (_, most), *others = fleet.sent_by.most_common()
    each = sum(count for _, count in others) / len(others)
    return (
        f"{machines} instances, {per_s:.0f} requests/s: "
        f"{fleet.messages / MEASURED_S:.0f} messages/s, "
        f"{fleet.bytes / MEASURED_S / 1000:.0f} KB/s in all; sent by the "
        f"coordinator {most / MEASURED_S:.0f}/s and "
        f"{fleet.bytes_by['i000'] / MEASURED_S / 1000:.1f} KB/s, by another "
        f"instance {each / MEASURED_S:.1f}/s and "
        f"{fleet.bytes_by['i050'] / MEASURED_S / 1000:.2f} KB/s"
    )


if __name__ == "__main__":
    for size in SIZES:
        for load_per_s in LOADS_PER_S:
            print(measure(size, load_per_s), flush=True)
