"""The balancer daemon of cornelspan."""
