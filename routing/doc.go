package routing
