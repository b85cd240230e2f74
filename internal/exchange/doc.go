// Package exchange passes a caller's opaque request to an endpoint and its
// answer back: it makes attempts, goes on with a broken stream at another group,
// and repeats only what is idempotent or proved not to have run.
package exchange
