"""The register: values of keys, replicated to a quorum of disks and changed one version at a time."""
