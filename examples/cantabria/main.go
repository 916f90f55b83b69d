// Command cantabria prints the deployment of Riego de Mesa Cantábrico as YAML. It is an
// example of the program that an operator keeps in a configuration repository.
package main

import (
	"fmt"
	"os"

	"dandeliondoor/sample"
)

func main() {
	deployment := sample.Cantabria(sample.CantabriaSizes, sample.PrivateAddresses)
	if err := deployment.Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
