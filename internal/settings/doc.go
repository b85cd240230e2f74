// Package settings holds the local settings of a daemon, such as its listen
// addresses, its data centre, its peers and the URLs of the platform. They are
// read from one YAML file.
package settings
