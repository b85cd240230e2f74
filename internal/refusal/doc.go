// Package refusal holds the typed failures that a caller can receive, and the
// outcome code that each answer carries.
package refusal
