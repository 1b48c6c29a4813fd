"""Routes: which one a ticket is of, and how its terms narrow what the decisions may do."""
