package stand

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest/httpx"

	"dandeliondoor/httpd"
	"dandeliondoor/plat"
)

// VMFaults are the faults of the list. Frozen answers with the list as it was
// when the fault began; Refuse answers 503.
type VMFaults struct {
	Frozen bool          `json:"frozen,optional"`
	Refuse bool          `json:"refuse,optional"`
	Delay  time.Duration `json:"delay,optional"`
}

// VMs stands in for the platform's list of VMs.
type VMs struct {
	Faults Switch[VMFaults]

	mutex   sync.Mutex
	version int
	vms     []plat.VM
	shown   []plat.VM
}

// NewVMs returns a list with the given VMs.
func NewVMs(vms []plat.VM) *VMs {
	list := &VMs{}
	list.Set(vms)
	return list
}

// Handler returns the HTTP contract of the list.
func (v *VMs) Handler() (http.Handler, error) {
	router := httpd.NewRouter()
	router.Handle(http.MethodGet, "/v1/vms", http.HandlerFunc(v.list))
	router.Handle(http.MethodPut, "/v1/vms", http.HandlerFunc(v.replace))
	v.Faults.route(router)
	return router.Handler()
}

// Set replaces the list.
func (v *VMs) Set(vms []plat.VM) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.vms = vms
	v.version++
}

// SetState changes the state of one VM.
func (v *VMs) SetState(name string, state plat.VMState) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	changed := make([]plat.VM, 0, len(v.vms))
	for _, vm := range v.vms {
		if vm.Name == name {
			vm.State = state
		}
		changed = append(changed, vm)
	}
	v.vms = changed
	v.version++
}

func (v *VMs) current() ([]plat.VM, int) {
	frozen := v.Faults.Get().Frozen
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if !frozen {
		v.shown = v.vms
	}
	return v.shown, v.version
}

func (v *VMs) list(w http.ResponseWriter, r *http.Request) {
	faults := v.Faults.Get()
	sleep(r.Context(), faults.Delay)
	if faults.Refuse {
		http.Error(w, "the list is down", http.StatusServiceUnavailable)
		return
	}
	vms, version := v.current()
	etag := strconv.Quote(strconv.Itoa(version))
	if !faults.Frozen && r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("ETag", etag)
	zone := r.URL.Query().Get("zone")
	answer := plat.VMList{VMs: []plat.VM{}}
	for _, vm := range vms {
		if zone == "" || vm.Zone == zone {
			answer.VMs = append(answer.VMs, vm)
		}
	}
	httpx.OkJsonCtx(r.Context(), w, answer)
}

func (v *VMs) replace(w http.ResponseWriter, r *http.Request) {
	var list plat.VMList
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		httpx.ErrorCtx(r.Context(), w, err)
		return
	}
	v.Set(list.VMs)
	httpx.OkJsonCtx(r.Context(), w, list)
}
