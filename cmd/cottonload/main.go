// Command cottonload sends bounded load to a deployment and checks what ran.
package main

import (
	"os"

	"github.com/cottonlanding/cottonlanding/internal/load/interpreter"
)

func main() {
	os.Exit(interpreter.Run(os.Args[1:], os.Stdout, os.Stderr))
}
