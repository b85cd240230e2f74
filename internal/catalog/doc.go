// Package catalog holds the operators' configuration of routes, services and
// teams as one immutable snapshot that the path of a request reads.
package catalog
