// Package config holds the configuration that operators publish: its types, the
// parsing and validation of configuration files, the replicated state that says
// which version is in force, and the distribution of that version to peers.
package config
