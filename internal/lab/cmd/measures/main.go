// Command measures prints the table of scenarios in docs/MEASURES.md.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/guavaford/guavaford/internal/lab"
)

func main() {
	short := flag.Bool("short", false, "use the lengths of the checks in CI")
	product := flag.Bool("product", false, "leave the baselines out")
	reasons := flag.Bool("reasons", false, "print why requests failed")
	only := flag.String("only", "", "prefix of the scenarios to run")
	flag.Parse()
	length, policies := lab.Full(), lab.Policies()
	if *short {
		length = lab.Short()
	}
	if *product {
		policies = policies[:1]
	}
	for _, d := range []func() *lab.Deployment{lab.Koperasi, lab.Verband} {
		results := lab.Table(d, length, policies, *only)
		fmt.Printf("\n## %s\n\n", d().Name)
		lab.Write(os.Stdout, results)
		if *reasons {
			lab.WriteReasons(os.Stderr, results)
		}
	}
}
