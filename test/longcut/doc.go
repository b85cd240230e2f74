// Package longcut holds the test of a data centre that is cut off for minutes.
// It is a package of its own, so that it runs beside the other tests.
package longcut
