// Command guavaford is the overload control layer: node, control replica and operators' tool in one binary.
package main

func main() {}
