"""Ownership of flows: placement of new flows and routing of packets to owners."""
