package fakes

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest/httpx"

	"dandeliondoor/httpd"
	"dandeliondoor/infra"
)

// VMFaults selects the faults of the list of VMs. Frozen serves the list as it was
// last served before the fault was set. Refuse responds with 503. Delay precedes each
// response.
type VMFaults struct {
	Frozen bool          `json:"frozen,optional"`
	Refuse bool          `json:"refuse,optional"`
	Delay  time.Duration `json:"delay,optional"`
}

// VMs simulates the platform's list of VMs.
type VMs struct {
	Faults FaultSet[VMFaults]

	mutex   sync.Mutex
	version int
	vms     []infra.VM
	served  []infra.VM
}

// NewVMs returns a list of the given VMs.
func NewVMs(vms []infra.VM) *VMs {
	list := &VMs{}
	list.Set(vms)
	return list
}

// Handler returns the handler of the list's HTTP API.
func (v *VMs) Handler() (http.Handler, error) {
	router := httpd.NewRouter()
	router.Handle(http.MethodGet, "/v1/vms", http.HandlerFunc(v.list))
	router.Handle(http.MethodPut, "/v1/vms", http.HandlerFunc(v.replace))
	v.Faults.registerRoutes(router)
	return router.Handler()
}

// Set replaces the list.
func (v *VMs) Set(vms []infra.VM) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.vms = vms
	v.version++
}

// SetState changes the state of the VM with the given name.
func (v *VMs) SetState(name string, state infra.VMState) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	changed := make([]infra.VM, 0, len(v.vms))
	for _, vm := range v.vms {
		if vm.Name == name {
			vm.State = state
		}
		changed = append(changed, vm)
	}
	v.vms = changed
	v.version++
}

// snapshot returns the list to serve and the version of the current list.
func (v *VMs) snapshot() ([]infra.VM, int) {
	frozen := v.Faults.Get().Frozen
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if !frozen {
		v.served = v.vms
	}
	return v.served, v.version
}

func (v *VMs) list(w http.ResponseWriter, r *http.Request) {
	faults := v.Faults.Get()
	sleep(r.Context(), faults.Delay)
	if faults.Refuse {
		http.Error(w, "the list is down", http.StatusServiceUnavailable)
		return
	}
	vms, version := v.snapshot()
	etag := strconv.Quote(strconv.Itoa(version))
	if !faults.Frozen && r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("ETag", etag)
	zone := r.URL.Query().Get("zone")
	list := infra.VMList{VMs: []infra.VM{}}
	for _, vm := range vms {
		if zone == "" || vm.Zone == zone {
			list.VMs = append(list.VMs, vm)
		}
	}
	httpx.OkJsonCtx(r.Context(), w, list)
}

func (v *VMs) replace(w http.ResponseWriter, r *http.Request) {
	var list infra.VMList
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		httpx.ErrorCtx(r.Context(), w, err)
		return
	}
	v.Set(list.VMs)
	httpx.OkJsonCtx(r.Context(), w, list)
}
