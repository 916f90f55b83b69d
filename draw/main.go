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
