package plat

import "net/netip"

// AppendReply is the answer to an append.
type AppendReply struct {
	Offset uint64 `json:"offset"`
}

// Offsets are the first offset that the log still has and the next that it
// will give.
type Offsets struct {
	Earliest uint64 `json:"earliest"`
	Next     uint64 `json:"next"`
}

// StoredRecord is a record with its offset.
type StoredRecord struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the answer to a read.
type Batch struct {
	Offsets
	Records []StoredRecord `json:"records"`
}

// ReadRequest asks for records from an offset on.
type ReadRequest struct {
	From  uint64 `form:"from"`
	Limit int    `form:"limit,default=256"`
}

// Role is what a VM does.
type Role string

// The roles of VMs.
const (
	RoleDaemon   Role = "daemon"
	RoleUpstream Role = "upstream"
)

// VMState is what the platform says of a VM.
type VMState string

// The states of VMs.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the list. Address is the daemons' port of a daemon and
// the serving port of an upstream.
type VM struct {
	Name    string         `json:"name"    yaml:"name"`
	Address netip.AddrPort `json:"address" yaml:"address"`
	Zone    string         `json:"zone"    yaml:"zone"`
	Role    Role           `json:"role"    yaml:"role"`
	State   VMState        `json:"state"   yaml:"state"`
}

// VMList is the list of VMs of one availability zone, or of all.
type VMList struct {
	VMs []VM `json:"vms"`
}
