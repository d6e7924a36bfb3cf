"""flintreach: a central planner (the pilot) behind a layer of plain proxies."""
