"""Identifiers used across the package."""

from typing import NewType

RegionName = NewType("RegionName", str)
ZoneName = NewType("ZoneName", str)
ServiceName = NewType("ServiceName", str)
ServerName = NewType("ServerName", str)
SiteName = NewType("SiteName", str)
InstanceId = NewType("InstanceId", str)
# One run of an instance's process; drawn at random at start.
BootId = NewType("BootId", str)
TicketNumber = NewType("TicketNumber", int)
SeatIndex = NewType("SeatIndex", int)
IdempotencyKey = NewType("IdempotencyKey", str)
# "host:port" with an IP number as the host.
Address = NewType("Address", str)
