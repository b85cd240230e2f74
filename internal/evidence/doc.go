// Package evidence reports whether the conditions of operation held over a span of
// time. Each daemon counts its activity and appends a digest every minute to the
// evidence stream of its data centre. A report is computed from the digests and
// from the configuration, group and order streams. It also lists what cannot be
// determined from the records.
package evidence
