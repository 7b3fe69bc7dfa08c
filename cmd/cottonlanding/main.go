// Command cottonlanding is the scheduler's daemon and its operators' commands.
package main

import (
	"os"

	"github.com/cottonlanding/cottonlanding/internal/command/interpreter"
)

func main() {
	os.Exit(interpreter.Run(os.Args[1:], os.Stdout, os.Stderr))
}
