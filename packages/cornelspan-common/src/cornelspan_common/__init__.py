"""Settings, messages, streams, logs and metrics shared by cornelspan's processes."""
