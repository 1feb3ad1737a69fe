"""Stand-ins of clients, routers, endpoints and the platform for the review's scripts.

They use the standard library only and follow the users' pages.
"""
