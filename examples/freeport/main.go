// Command freeport prints a TCP port of the loopback address that is free at the moment.
package main

import (
	"fmt"
	"net"
	"os"
)

func main() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "freeport:", err)
		os.Exit(1)
	}
	defer listener.Close()
	fmt.Println(listener.Addr().(*net.TCPAddr).Port)
}
