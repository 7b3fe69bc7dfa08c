// Command cottonstand runs stand-ins for the platform, workers and executors.
package main

import (
	"os"

	"github.com/cottonlanding/cottonlanding/internal/stand/interpreter"
)

func main() {
	os.Exit(interpreter.Run(os.Args[1:], os.Stdout, os.Stderr))
}
