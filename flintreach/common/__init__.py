"""What all programs share."""
