"""Stand-ins and process control for the scripts of cases 4 and 5; standard library."""
