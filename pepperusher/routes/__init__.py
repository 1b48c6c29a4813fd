"""Routes: matching tickets to them, and the limits that their settings place on the balancer's decisions."""
