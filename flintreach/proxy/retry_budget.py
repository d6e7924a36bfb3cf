"""Retry budget: the fraction of the requests to a service that may be sent again.

Retries and hedged requests share the budget, so that an overloaded service does not receive even more load.
Times are nanoseconds of this process's monotonic clock.

Source: B. Beyer et al., "Site Reliability Engineering" (2016), chapter 21, "Handling Overload".
"""

NS_PER_S = 1_000_000_000

# Number of slots per second of the sliding window.
SLOTS_PER_S = 4

# Fraction of the ratio and of the slack that the proxies use together.  The remainder covers proxies that do
# not know of each other yet, and differences in the alignment of their windows.
USABLE_FRACTION = 0.5


class RetryBudget:
    """This proxy's share of a service's budget for retries and hedged requests, in a sliding window.

    Args:
        ratio: retries allowed per request in the window, over all proxies.
        window_s: length of the window.
        slack: retries allowed in a window in addition to the ratio, over all proxies.
    """

    __slots__ = ("ratio", "slack", "slots", "requests", "retries", "current_slot")

    def __init__(self, ratio: float, window_s: float, slack: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.slots = max(1, int(window_s * SLOTS_PER_S))
        self.requests = [0] * self.slots
        self.retries = [0] * self.slots
        self.current_slot = 0

    def advance(self, now_ns: int) -> int:
        """Clears the slots that have left the window, and returns the index of the current slot."""
        slot = now_ns * SLOTS_PER_S // NS_PER_S
        # After a pause longer than the window, clearing each slot once is enough.
        last_to_empty = min(slot, self.current_slot + self.slots)
        for passed in range(self.current_slot + 1, last_to_empty + 1):
            index = passed % self.slots
            self.requests[index] = 0
            self.retries[index] = 0
        self.current_slot = max(self.current_slot, slot)
        return self.current_slot % self.slots

    def count_request(self, now_ns: int) -> None:
        """Counts a client request, which increases the budget."""
        self.requests[self.advance(now_ns)] += 1

    def allows(self, now_ns: int, proxies: int, fraction: float = 1.0) -> bool:
        """Returns whether one more retry may be sent.

        Args:
            now_ns: current time.
            proxies: number of proxies that share the slack.
            fraction: fraction of the budget that may be used for this purpose.
        """
        self.advance(now_ns)
        budget = USABLE_FRACTION * (self.ratio * sum(self.requests) + self.slack / max(1, proxies))
        return sum(self.retries) + 1 <= fraction * budget

    def spend(self, now_ns: int) -> None:
        """Counts a retry or hedged request that is sent now."""
        self.retries[self.advance(now_ns)] += 1
