// Package settings reads a node's settings file: JSON with comments. Reading
// is strict and lists every fault with its file, line, field and limit.
// README.md is the reference of all fields; Reference generates it.
package settings
