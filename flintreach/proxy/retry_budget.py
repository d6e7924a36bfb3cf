"""A retry budget: the share of the requests to a service that may be sent once more.  Pure.

Retries and hedged requests both spend from it, so that a service in trouble isn't buried under repeated work.
Times are nanoseconds of this process's steady clock.

Source: B. Beyer et al., "Site Reliability Engineering" (2016), chapter 21, "Handling Overload".
"""

NS_PER_S = 1_000_000_000

# Slots of the sliding window for each second of it.
SLOTS_PER_S = 4

# Part of the ratio, and of the slack of all proxies together, that proxies may use up.  What is left covers
# proxies that are not yet known to each other, and windows that are cut differently.
USABLE_FRACTION = 0.5


class RetryBudget:
    """This proxy's share of the retries and hedged requests that all may send to a service in a window.

    Args:
        ratio: retries allowed for each request in the window, over all proxies.
        window_s: length of the window.
        slack: retries allowed in a window beyond the ratio, over all proxies.
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
        """Empty the slots that have fallen out of the window, and return the index of the present one."""
        slot = now_ns * SLOTS_PER_S // NS_PER_S
        # After a pause longer than the window, one round empties all there is.
        last_to_empty = min(slot, self.current_slot + self.slots)
        for passed in range(self.current_slot + 1, last_to_empty + 1):
            index = passed % self.slots
            self.requests[index] = 0
            self.retries[index] = 0
        self.current_slot = max(self.current_slot, slot)
        return self.current_slot % self.slots

    def count_request(self, now_ns: int) -> None:
        """Count a request of a client: it adds to the budget."""
        self.requests[self.advance(now_ns)] += 1

    def allows(self, now_ns: int, proxies: int, fraction: float = 1.0) -> bool:
        """Whether one more retry may be sent.

        Args:
            now_ns: steady clock.
            proxies: number of proxies that share the slack.
            fraction: fraction of the budget that may be used up for this purpose.
        """
        self.advance(now_ns)
        budget = USABLE_FRACTION * (self.ratio * sum(self.requests) + self.slack / max(1, proxies))
        return sum(self.retries) + 1 <= fraction * budget

    def spend(self, now_ns: int) -> None:
        """Count a retry or a hedged request that is sent now."""
        self.retries[self.advance(now_ns)] += 1
