// Package settings reads a node's settings file: JSON with comments. Parsing is
// strict and reports every fault with its file, line, field and requirement.
// README.md is the reference of all fields and holds the table that Reference
// generates.
package settings
