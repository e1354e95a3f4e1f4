// Command freeport prints free TCP ports of the loopback address, one per line.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/guavaford/guavaford/internal/freeport"
)

func main() {
	count := flag.Int("n", 1, "number of ports to print")
	flag.Parse()
	ports, err := freeport.Ports(*count)
	if err != nil {
		fmt.Fprintln(os.Stderr, "freeport:", err)
		os.Exit(1)
	}
	for _, port := range ports {
		fmt.Println(port)
	}
}
