// Package service calls plain services: idempotent calls with retries, and
// orders at most once.
package service
