"""Stand-ins and process control for the scripts of cases 4 to 6; standard library."""
