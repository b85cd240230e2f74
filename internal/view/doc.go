// Package view holds the immutable snapshot that the path of a request reads.
// The control side publishes a new snapshot; readers take it by one atomic
// load.
package view
