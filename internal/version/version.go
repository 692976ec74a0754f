// Package version holds the version of the programs.
package version

// Version is the release version.
const Version = "0.1.0"
