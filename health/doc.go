package health
