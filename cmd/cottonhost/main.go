// Command cottonhost runs one host of cottonlanding on the users' platform.
package main

import "C" // the platform asks for programs that are linked against the C library

import (
	"fmt"
	"os"

	"github.com/cottonlanding/cottonlanding/platform"
)

func main() {
	if err := platform.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "cottonhost:", err)
		os.Exit(1)
	}
}
