package load
