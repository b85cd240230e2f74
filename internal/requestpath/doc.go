// Package requestpath takes the path out of a request target as it was sent. Routes are chosen by
// that path, in which an escape is data. Other readers of the same bytes decode what RFC 3986 calls
// equivalent, resolve dot segments or merge empty ones; Read gives the path as they see it.
package requestpath
