"""What must not change: stored data, the wire, settings, and what operators hold on to.

The expected bytes stand in `tests/data`, as release 8a5daae wrote them; the cases know no names of the code.
"""
