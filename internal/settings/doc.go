// Package settings holds a daemon's own settings: its addresses, its data
// centre, its peers and where the platform is. They come from one YAML file.
package settings
