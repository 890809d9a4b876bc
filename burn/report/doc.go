// Package report renders burn snapshots as a text table and as one HTML page
// that refers to no other resource.
package report
