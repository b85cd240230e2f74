// Package evidence shows that the conditions of operation held over a span of
// time. Each daemon counts what it did and appends a digest of it each minute
// to its data centre's evidence stream. A report is worked out from the digests
// and from the configuration, group and order streams, and says as well what
// the records cannot tell.
package evidence
