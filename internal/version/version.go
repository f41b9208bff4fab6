// Package version defines the version of the software.
package version

// Version is the version that hornbeamspan and hornbeamctl report. Hosts on the platform also use it as their peer key.
const Version = "0.1.0"
