// Package order runs calls that are not idempotent at most once. The log
// decides who may run a key: the first claim of a key wins, and only its writer
// may dispatch, once.
package order
