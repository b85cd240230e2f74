package fakes

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
)

// VMList is a fake of the platform's list of VMs. A test makes the list outdated by
// not calling Put or Remove, and unavailable through the injected faults.
type VMList struct {
	*FaultInjector

	mu      sync.Mutex
	vms     map[fleet.VMID]fleet.VM
	changes int // number of changes, used as the ETag
}

// NewVMList returns a list that contains vms.
func NewVMList(vms ...fleet.VM) *VMList {
	l := &VMList{FaultInjector: NewFaultInjector(), vms: map[fleet.VMID]fleet.VM{}}
	for _, vm := range vms {
		l.Put(vm)
	}
	return l
}

// Handler serves the list's protocol.
func (l *VMList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /vms", l.withFaults(http.HandlerFunc(l.handleList)))
	mux.HandleFunc("PUT /vms", l.handlePut)
	mux.HandleFunc("DELETE /vms/{vm}", l.handleDelete)
	mux.HandleFunc("POST "+pathFaults, l.handleSetFaults)
	return mux
}

func (l *VMList) handleList(w http.ResponseWriter, r *http.Request) {
	wanted := fleet.DataCentre(r.URL.Query().Get("data_centre"))
	l.mu.Lock()
	vms := make([]fleet.VM, 0, len(l.vms))
	for _, vm := range l.vms {
		if wanted == "" || vm.DataCentre == wanted {
			vms = append(vms, vm)
		}
	}
	tag := strconv.Quote(strconv.Itoa(l.changes))
	l.mu.Unlock()
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	slices.SortFunc(vms, func(a, b fleet.VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	writeJSON(w, http.StatusOK, infra.VMListResponse{VMs: vms})
}

func (l *VMList) handlePut(w http.ResponseWriter, r *http.Request) {
	var vm fleet.VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.Put(vm)
}

func (l *VMList) handleDelete(_ http.ResponseWriter, r *http.Request) {
	l.Remove(fleet.VMID(r.PathValue("vm")))
}

// Put adds or replaces a VM.
func (l *VMList) Put(vm fleet.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms[vm.ID] = vm
	l.changes++
}

// Remove removes a VM.
func (l *VMList) Remove(id fleet.VMID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.vms, id)
	l.changes++
}
