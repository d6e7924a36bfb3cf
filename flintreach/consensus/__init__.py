"""A replicated register: a quorum of disks agrees on each key independently, one change at a time."""
