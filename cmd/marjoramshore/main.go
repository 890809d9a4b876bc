// Command marjoramshore is the router's one binary.
package main

func main() {}
