// Package catalog holds the operators' configuration of routes, services and
// teams as an immutable snapshot that request handling reads.
package catalog
