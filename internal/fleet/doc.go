// Package fleet holds the value types that every other package shares: VMs,
// members, groups and the reports that members give about themselves. The
// types carry no behaviour beyond small pure helpers and are safe to copy.
package fleet
