"""The command line client for operators of cornelspan."""
