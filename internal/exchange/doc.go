// Package exchange forwards a caller's opaque request to an endpoint and returns
// the answer. It makes attempts, resumes a broken stream at another group, and
// retries only requests that are idempotent or provably have not run.
package exchange
