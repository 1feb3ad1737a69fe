"""The cornelspand binary."""
