// Command measures simulates the scenarios of package lab and prints tables of their results, or writes them into
// a Markdown page.
package main

import (
	"bytes"
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
	page := flag.String("write", "", "page to write the tables into")
	flag.Parse()
	length, policies := lab.FullDurations(), lab.Policies()
	if *short {
		length = lab.ShortDurations()
	}
	if *product {
		policies = policies[:1]
	}
	var tables bytes.Buffer
	for _, d := range []func() *lab.Deployment{lab.Koperasi, lab.Verband} {
		results := lab.MeasureAll(d, length, policies, *only)
		fmt.Fprintf(&tables, "\n### %s\n\n", d().Name)
		lab.WriteTable(&tables, results)
		if *reasons {
			lab.WriteReasons(os.Stderr, results)
		}
	}
	if *page == "" {
		fmt.Print(tables.String())
		return
	}
	if err := lab.ReplaceTables(*page, tables.Bytes()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
