"""Control plane: object store client, configuration and membership."""
