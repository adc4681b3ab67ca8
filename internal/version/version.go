// Package version contains the release of the programs.
//
// # Usage
//
//	fmt.Println(version.String())
package version

import "runtime"

// Release is the version of this source tree.
const Release = "0.1.0"

// String returns the release and the Go version that built the program.
func String() string {
	return Release + " (" + runtime.Version() + ")"
}
