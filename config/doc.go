// Package config holds the typed configuration of the fleet: what operators
// state, the values it is published in, the checks that refuse a bad document
// as a whole, and lookups for the traffic path.
//
// A configuration is published as several values. The value "fleet" holds
// services, classes and routes. Teams are divided over the values "teams-0",
// "teams-1" and so on. The value "manifest" holds the version and the SHA-256
// digest of every other value.
//
// Parse and Config.Update run a chain of stages over a draft: read the
// manifest, verify the values, decode, validate, link and index. Only decode.go,
// json.go and encode.go know JSON; the other stages work on typed documents.
package config
