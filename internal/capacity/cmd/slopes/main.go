// Command slopes measures the costs of each role at several sizes and prints the tables of
// docs/CAPACITY.md.
package main

import (
	"fmt"
	"os"

	"github.com/guavaford/guavaford/internal/capacity"
)

func main() {
	capacity.Print(os.Stdout, capacity.Node())
	fmt.Println()
	capacity.Print(os.Stdout, capacity.Control())
	fmt.Println()
	capacity.Print(os.Stdout, capacity.Links())
}
