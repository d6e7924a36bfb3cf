"""Names that processes and disks share: keys of the register and of updates, and roles of members.

The values are bytes on the wire and on disk, as earlier releases wrote them: a fleet is exchanged process by
process, and a disk outlives the release that wrote it.  The glossary maps them to the terms used here.
"""

# Keys of the register; the first three are keys of updates too.
CONFIGURATION_KEY = "timetable"
EVACUATION_KEY = "evac"
ASSIGNMENT_KEY = "map"  # in the register [number, slice -> endpoint ids], as an update the number alone
VOTERS_KEY = "voters"
KEY_RANGES_PREFIX = (
    "bunks/"  # and a service: the allocation of its keys; as an update the ranges that are held
)

# Keys of updates alone.
ENDPOINT_KEY_PREFIX = "hut/"  # and an endpoint's id
SLICE_KEY_PREFIX = "slice/"  # and a slice, a route with one of its services: ids of its endpoints

# Roles in the list of members.
ROLE_CONTROLLER = "refuge"
ROLE_PROXY = "bothy"
