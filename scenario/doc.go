// Package scenario holds scripted scenarios that run the programs as real
// processes on loopback addresses and kill, freeze and cut them. See
// docs/TESTING.md for the commands of the scripts.
package scenario
