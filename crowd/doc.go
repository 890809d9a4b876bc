// Package crowd tests processes of the program against crowds of clients that don't
// keep to the limits or never end what they begin. Its tests have the build tag
// crowd: they run one at a time and apart from other load, since they measure memory.
package crowd
