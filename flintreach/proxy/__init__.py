"""The data plane: takes requests of clients, forwards them to endpoints, brings the answers back.

The way of a request, from outside in: `client_listener` (connections of clients) and `request_parser`,
`forwarding` (route, retries), `hedging` (two attempts at once), `attempt` (one attempt, and what it tells of
the endpoint), `exchange` (one request on one connection), `connection` and `response`.

What decides, without I/O: `view` (what the control plane tells), `lease`, `endpoint`, `key_ranges`,
`balancing`, `outcome`, `retry_policy`, `retry_budget`, `link_admission`.  Beside them: `caller` (whether the
client still waits), `health_check`, `metrics`, and `program`, which starts and stops it all.
"""
