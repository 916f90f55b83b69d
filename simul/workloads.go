package simul

import (
	"fmt"
	"time"
)

// Workload is a named load. Limited is the account that its quota limits, if any.
type Workload struct {
	Name    string
	Load    Load
	Limited string
}

// hardLoad returns a twelfth of the first deployment in docs/HARD-LOAD.md, at 2.5 times
// its load: 20 servers with 3 slots, two thirds in use by 209 requests/s of four kinds, and
// 20 accounts of uneven size.
func hardLoad(seed uint64) Load {
	const (
		ms                        = time.Millisecond
		servers, daemons, seconds = 20, 16, 12
		accounts                  = 20
	)
	load := Defaults()
	load.Servers, load.Daemons, load.Seed, load.Length = servers, daemons, seed, seconds*time.Second
	load.Health.UnhealthyShare, load.Health.HealthyFailures = 0, 0
	load.Classes = []Class{
		{Name: "reads", Rate: 104, Work: 97 * ms, Objective: 500 * ms, Deadline: 1500 * ms, Idempotent: true, Attempts: 3},
		{Name: "bookings", Rate: 42, Work: 240 * ms, Objective: 1200 * ms, Deadline: 3000 * ms, Attempts: 2, Priority: 1},
		{Name: "searches", Rate: 42, Work: 320 * ms, Objective: 1200 * ms, Deadline: 2000 * ms, Idempotent: true, Attempts: 3, Priority: 1},
		{Name: "downloads", Rate: 21, Work: 300 * ms, Objective: 2000 * ms, Deadline: 3000 * ms, Idempotent: true, Attempts: 3, Priority: 2},
	}
	for i := range accounts {
		load.Accounts = append(load.Accounts, Account{Name: fmt.Sprintf("account-%02d", i), Share: 1 / float64(i+1)})
	}
	return load
}

// HardWorkloads returns the workloads of docs/HARD-LOAD.md, at which servers, daemons or
// callers are in trouble from the fourth second on.
func HardWorkloads(seed uint64) []Workload {
	const (
		at, length, rejecting = 4 * time.Second, 6 * time.Second, 8 * time.Second
		// largeQuota is the quota of the largest account, which uses 0.6 of it.
		largeQuota = 209 * 0.28 / 0.6
	)
	burst := func(class, account string, factor float64) func(*Load) {
		return func(l *Load) {
			l.Bursts = []Burst{{Class: class, Account: account, At: at, For: length, Factor: factor}}
		}
	}
	var workloads []Workload
	add := func(name, limited string, changes ...func(*Load)) {
		load := hardLoad(seed)
		for _, change := range changes {
			change(&load)
		}
		workloads = append(workloads, Workload{Name: name, Load: load, Limited: limited})
	}
	add("usual load", "")
	add("burst of the least urgent kind", "", burst("downloads", "", 12))
	add("burst of the most urgent kind", "", burst("reads", "", 8))
	add("one account at 7 times its usual demand, within its quota", "", burst("", "account-00", 7))
	add("one account at 7 times its usual demand, beyond its quota", "account-00", burst("", "account-00", 7),
		func(l *Load) { l.Accounts[0].Quota = largeQuota })
	add("one small account at 150 times its usual demand", "", burst("", "account-19", 150))
	add("all servers reject half of the requests", "",
		func(l *Load) { l.Rejects = []Span{{At: at, For: rejecting, Share: 0.55}} })
	add("a third of the servers slow", "",
		func(l *Load) { l.Slowdowns = []Slowdown{{At: at, For: length, Share: 1.0 / 3, Factor: 8}} })
	add("half of the daemons gone", "", burst("", "", 3),
		func(l *Load) { l.DaemonsGone = []Span{{At: at, Share: 0.5}} })
	add("callers that retry at once", "", burst("", "", 3), func(l *Load) { l.EagerCallers = true })
	return workloads
}
