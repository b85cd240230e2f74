package group

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// VMTakenError voids a form that names a VM of another group.
type VMTakenError struct {
	VM    fleet.VMID
	Group fleet.FencingNumber
}

// Error implements error.
func (e *VMTakenError) Error() string {
	return fmt.Sprintf("VM %s is a member of group %d", e.VM, e.Group)
}

// StaleFenceError voids a form that was made when the VM was free under an
// older fencing number.
type StaleFenceError struct {
	VM   fleet.VMID
	Seen fleet.FencingNumber
	Now  fleet.FencingNumber
}

// Error implements error.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("VM %s was free under fencing number %d, now it has %d", e.VM, e.Seen, e.Now)
}

// AlreadyDrainingError voids a second drain of a group.
type AlreadyDrainingError struct {
	Group fleet.FencingNumber
}

// Error implements error.
func (e *AlreadyDrainingError) Error() string {
	return fmt.Sprintf("group %d drains already", e.Group)
}

// NoSuchGroupError voids a record about a group that does not exist.
type NoSuchGroupError struct {
	Group fleet.FencingNumber
}

// Error implements error.
func (e *NoSuchGroupError) Error() string {
	return fmt.Sprintf("no group %d", e.Group)
}

// MalformedFormError voids a form without members or with one twice.
type MalformedFormError struct {
	VM fleet.VMID
}

// Error implements error.
func (e *MalformedFormError) Error() string {
	return fmt.Sprintf("members of the form are malformed at %q", e.VM)
}

// BootsMismatchError voids a ready record whose boots are not those of the
// members, or that comes a second time.
type BootsMismatchError struct {
	Group fleet.FencingNumber
}

// Error implements error.
func (e *BootsMismatchError) Error() string {
	return fmt.Sprintf("boots do not match the members of group %d", e.Group)
}
