// Package longcut contains the test of a network partition that lasts minutes. It
// is a separate package so that go test runs it in parallel with the other tests.
package longcut
