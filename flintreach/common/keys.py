"""Keys of the register and of updates, and roles of members.

The values are used on the wire and on disk and must not change: in a rolling upgrade, processes of two
releases run side by side, and a disk outlives the release that wrote it.  The glossary maps them to the terms
used here.
"""

# Keys of the register; the first three and the prefix are also keys of updates.
CONFIGURATION_KEY = "timetable"
EVACUATION_KEY = "evac"
ASSIGNMENT_KEY = "map"  # in the register [number, slice -> endpoint ids], in updates only the number
VOTERS_KEY = "voters"
# Followed by the name of a service: the allocation of its keys; in updates the ranges that are held.
KEY_RANGES_PREFIX = "bunks/"

# Keys of updates only.
ENDPOINT_KEY_PREFIX = "hut/"  # followed by an endpoint id
SLICE_KEY_PREFIX = "slice/"  # followed by a slice (a route and one of its services): ids of its endpoints

# Roles in the member list.
ROLE_CONTROLLER = "refuge"
ROLE_PROXY = "bothy"
