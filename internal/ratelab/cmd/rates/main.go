// Command rates prints the figures of the rate scenarios as a table.
package main

import (
	"os"

	"github.com/guavaford/guavaford/internal/ratelab"
)

func main() {
	ratelab.WriteTable(os.Stdout, ratelab.RunScenarios())
}
