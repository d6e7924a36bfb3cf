"""The pilot as a network service: the sockets around the decision logic, one module for each kind of peer."""
