"""HTTP requests of ``http`` services: admission, handoff, keys, retries, outcomes."""
