"""Stand-ins, demo, benches and scenarios; not for production."""
