// Package fakes contains small fakes of the platform: a configuration service, a host
// list and a backend server. Each listens on a port of 127.0.0.1, speaks HTTP/1.1 and
// is controlled from Go code. They share no code with the clients of package platform,
// so that tests reveal a mistake on either side.
package fakes
