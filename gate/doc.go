package gate
