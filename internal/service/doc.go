// Package service calls plain services: idempotent calls with retries, and other
// calls as orders that run at most once.
package service
