"""The replicated register: values of keys on a quorum of disks, each changed one version at a time."""
