// Command slopes measures the costs of each role at several sizes and prints the tables of
// docs/CAPACITY.md.
package main

import (
	"fmt"
	"os"

	"github.com/guavaford/guavaford/internal/capacity"
)

func main() {
	capacity.WriteTable(os.Stdout, capacity.NodeSlopes())
	fmt.Println()
	capacity.WriteTable(os.Stdout, capacity.ControlSlopes())
	fmt.Println()
	capacity.WriteTable(os.Stdout, capacity.ConnectionSlopes())
}
