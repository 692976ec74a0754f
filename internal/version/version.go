// Package version names the version of the programs.
package version

// Version is the released version.
const Version = "0.1.0"
