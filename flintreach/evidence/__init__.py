"""Host loads measured by collectd, received over the network and judged by age and plausibility.

Such figures arrive late and may be wrong, so they can take load off a host but never add any.
"""
