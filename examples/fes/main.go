// Command fes prints the deployment of the régie of Fès as YAML. It is an
// example of the program that an operator keeps in a configuration repository.
package main

import (
	"fmt"
	"os"

	"dandeliondoor/sample"
)

func main() {
	deployment := sample.Fes(sample.FesSizes, sample.PrivateAddresses)
	if err := deployment.Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
