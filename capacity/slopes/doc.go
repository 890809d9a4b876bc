// Package slopes measures how the costs of the workspace's modules grow with
// size. It drives the real state machines in memory on virtual time and
// encodes real messages. Counts of bytes and calls are the same in every run;
// times and heap sizes are not, and decide no test.
package slopes
