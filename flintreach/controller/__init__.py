"""The control-plane process: control calls, the directory, and a replica of the register."""
