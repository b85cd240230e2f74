// Package fleet holds the value types that the other packages share: VMs,
// members, groups and member reports. The types have no behaviour beyond small
// pure helpers and are safe to copy.
package fleet
