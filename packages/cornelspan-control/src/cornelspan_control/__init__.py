"""Client of the platform's object store, configuration and membership."""
