// Command dandeliondoor is a proxy fleet between callers and upstreams.
package main

import (
	"os"

	"dandeliondoor/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
