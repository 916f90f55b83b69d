package infra

import "net/netip"

// AppendReply is the reply to an append.
type AppendReply struct {
	Offset uint64 `json:"offset"`
}

// Offsets are the offset of the earliest record that the log still stores and the
// offset that the next record will get.
type Offsets struct {
	Earliest uint64 `json:"earliest"`
	Next     uint64 `json:"next"`
}

// StoredRecord is a record with its offset.
type StoredRecord struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the reply to a read.
type Batch struct {
	Offsets
	Records []StoredRecord `json:"records"`
}

// ReadRequest requests records starting at an offset.
type ReadRequest struct {
	From  uint64 `form:"from"`
	Limit int    `form:"limit,default=256"`
}

// Role is the role of a VM.
type Role string

// The roles of VMs.
const (
	RoleDaemon   Role = "daemon"
	RoleUpstream Role = "upstream"
)

// VMState is the state of a VM as reported by the platform.
type VMState string

// The states of VMs.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry in the list of VMs. Address is the address of a daemon's port for
// other daemons, or of an upstream's port for requests.
type VM struct {
	Name    string         `json:"name"    yaml:"name"`
	Address netip.AddrPort `json:"address" yaml:"address"`
	Zone    string         `json:"zone"    yaml:"zone"`
	Role    Role           `json:"role"    yaml:"role"`
	State   VMState        `json:"state"   yaml:"state"`
}

// VMList is the list of VMs in one availability zone, or in all of them.
type VMList struct {
	VMs []VM `json:"vms"`
}
