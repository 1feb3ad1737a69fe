"""The agent daemon of cornelspan."""
