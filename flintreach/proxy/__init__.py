"""The data plane: accepts client requests, forwards them to endpoints and returns the responses.

Modules on the path of a request, in order: `client_listener` (client connections) and `request_parser`,
`forwarding` (routing and retries), `hedging` (two concurrent attempts), `attempt` (a single attempt and what
it reveals about the endpoint), `exchange` (one request on one connection), `connection` and `response`.

Decisions, without I/O: `view` (state received from the control plane), `lease`, `endpoint`, `key_ranges`,
`balancing`, `outcome`, `retry_policy`, `retry_budget`, `link_admission`.  Other modules: `caller` (whether
the client is still connected), `health_check`, `metrics`, and `program`, which starts and stops the process.
"""
