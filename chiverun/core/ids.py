"""Identifiers used across the package."""

from typing import NewType

RegionName = NewType("RegionName", str)
ZoneName = NewType("ZoneName", str)
ServiceName = NewType("ServiceName", str)
ServerName = NewType("ServerName", str)
SiteName = NewType("SiteName", str)
InstanceId = NewType("InstanceId", str)
# Identifies one process lifetime of an instance; random, chosen at start.
BootId = NewType("BootId", str)
TicketNumber = NewType("TicketNumber", int)
SeatIndex = NewType("SeatIndex", int)
IdempotencyKey = NewType("IdempotencyKey", str)
# Name of a client account that operators declare.
AccountName = NewType("AccountName", str)
# Digest of an API key; plain keys stay in the store.
KeyDigest = NewType("KeyDigest", bytes)
# "host:port" with an IP address as the host.
Address = NewType("Address", str)
