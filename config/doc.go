// Package config holds the typed configuration of the fleet: the documents that
// operators write, their encoding as published values, validation, and lookups
// for the request path. A configuration with any problem is rejected as a whole.
//
// A configuration is published as several named values of the configuration
// service. The value "fleet" holds services, classes and routes. Teams are
// distributed over the values "teams-0", "teams-1" and so on, the team parts, by a
// hash of the team name. The value "manifest" holds the version and the SHA-256
// digest of every other value.
//
// Parse and Config.Update run a sequence of stages on a draft: read the
// manifest, verify and decode the values, validate, resolve references and build
// indexes. Only decode.go, json.go and encode.go handle JSON; the other stages
// work on typed documents.
package config
