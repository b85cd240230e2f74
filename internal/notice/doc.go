// Package notice passes on what endpoints announce about themselves in the headers of their
// answers, whatever they answer to.
package notice
