// Command cantabria prints the deployment of a firm as YAML, as a configuration
// repository of its own would.
package main

import (
	"fmt"
	"os"

	"dandeliondoor/firms"
)

func main() {
	deployment := firms.Cantabria(firms.CantabriaSizes, firms.PrivateAddresses)
	if err := deployment.Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
