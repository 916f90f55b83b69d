// Command draw writes the pictures of docs/pictures from the journal; it runs in
// the root of the repository.
package main

import (
	"fmt"
	"os"

	"dandeliondoor/plots"
)

func main() {
	if err := plots.Draw("journal", "docs/pictures"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
