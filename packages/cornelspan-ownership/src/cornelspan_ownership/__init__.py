"""Who owns a flow, where a new one goes, and how its packets find the owner."""
