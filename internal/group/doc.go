// Package group decides about groups: the fold of a data centre's group
// stream, which groups are complete, and the plan that forms and releases
// groups. It does no I/O and takes time as an argument.
package group
