"""The controller process: control API, proxy discovery, and a replica of the register."""
