# The operator's own file: `serve --operator deploy/flintreach.hcl`, or FLINTREACH_OPERATOR.
# A part whose block is absent is off; `check-config --operator` says what the file holds.
# docs/cores.md tells when several cores pay.

# cores {
#   workers       = 3        # processes that take connections, beside the one that decides
#   share         = 0.2      # of the deciding core, for reading what they bring
#   wait          = "200ms"  # the longest that an ordinary sum waits for the deciding core
#   rows          = 2000     # in one record of a worker
#   sign          = "50ms"   # between signs of life, both ways
#   stale         = "400ms"  # without the deciding process's, none is given outside
#   hang          = "2s"     # without one from a worker, it is replaced
#   pause_first   = "100ms"  # before a worker that ended is started again
#   pause_longest = "10s"    # it doubles with each end up to this
#   steady        = "30s"    # of service, after which a worker's earlier ends are forgotten
# }

# telemetry {
#   graphite = "127.0.0.1:2003"   # numeric: names are not looked up
#   protocol = "plaintext"        # or "pickle"
#   prefix   = "flintreach"
#   tags     = { site = "north" } # beside pilot=NAME
#   every    = "10s"
#   spool    = "4MiB"             # of what waits for a receiver; the oldest is dropped
#   history  = "/var/lib/flintreach/history"   # without one the last hour is in memory alone
# }

# evidence {
#   listen  = "127.0.0.1:25826"   # collectd's datagrams
#   accept  = "signed"            # or "any"
#   keys    = "/etc/flintreach/collectd.users"
#   hosts   = { "sym-1" = "s-5be2a07c" }   # host, as collectd names it, to server
#   packets = 1000                # a second from one address; what is more is dropped unread
# }
