// Package config holds the operators' configuration: its types, the strict
// reading of the files it comes from, and the fold of the stream that says
// which version is in force.
package config
