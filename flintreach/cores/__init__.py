"""One pilot on several cores: one process decides, workers read, check and aggregate the reports."""
