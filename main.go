// Command dandeliondoor runs the daemons of a proxy fleet between callers and
// upstreams, and has the operators' commands for it.
package main

import (
	"os"

	"dandeliondoor/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
