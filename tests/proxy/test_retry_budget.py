"""Limit on the retries of all proxies together."""

import random
import unittest

from flintreach.proxy.retry_budget import NS_PER_S, RetryBudget


class RetryBudgets(unittest.TestCase):
    def test_retries_of_all_proxies_stay_within_the_budget_in_every_window(self) -> None:
        draw = random.Random(5)
        proxies = 6
        ratio = 0.2
        slack = 60
        budgets = [RetryBudget(ratio, 10, slack) for _ in range(proxies)]
        retries_ms = []
        requests_ms = []
        for now_ms in range(0, 40000, 20):
            now_ns = now_ms * NS_PER_S // 1000
            for budget in budgets:
                if draw.random() < (0.02 if now_ms < 20000 else 0.4):
                    budget.count_request(now_ns)
                    requests_ms.append(now_ms)
                if budget.allows(now_ns, proxies):
                    budget.spend(now_ns)
                    retries_ms.append(now_ms)
        for start in range(0, 30000, 500):
            spent = sum(start <= at < start + 10000 for at in retries_ms)
            requests = max(
                sum(begin <= at < begin + 10000 for at in requests_ms)
                for begin in (start, start - 5000, start - 10000)
            )
            self.assertLessEqual(spent, ratio * requests + slack, start)
        self.assertGreater(len(retries_ms), 60)


if __name__ == "__main__":
    unittest.main()
