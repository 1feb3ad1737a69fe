"""HTTP requests of ``http`` services: admission, hand-off, keys, retries, outcomes."""
