package fleet

import (
	"encoding/json"
	"fmt"
	"reflect"
)

// protocolVersion is the version of the control messages that this build sends. It
// accepts this version and the previous one and ignores unknown fields, so that builds
// one version apart can run in the same fleet.
const protocolVersion = 1

// envelope wraps every control message with the protocol version and its sender.
type envelope struct {
	Version int             `json:"v"`
	From    string          `json:"from"`
	Message json.RawMessage `json:"m"`
}

// Ack is the empty reply to messages that need no reply data.
type Ack struct{}

// method associates a method name with the Go types of its request and reply.
type method struct {
	name    string
	request reflect.Type
	reply   reflect.Type
}

// Registry maps message types to JSON-RPC methods. All methods must be registered
// before it is used; after that it is read-only.
type Registry struct {
	byName map[string]method
	byType map[reflect.Type]method
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{byName: make(map[string]method), byType: make(map[reflect.Type]method)}
}

// Register associates a method name with a request and a reply type. It panics if the
// name or the request type is already registered, which is a programming error.
func Register[Request, Reply any](r *Registry, name string) {
	m := method{name: name, request: reflect.TypeFor[Request](), reply: reflect.TypeFor[Reply]()}
	if _, ok := r.byName[name]; ok {
		panic("fleet: method registered twice: " + name)
	}
	if _, ok := r.byType[m.request]; ok {
		panic("fleet: message type registered twice: " + m.request.String())
	}
	r.byName[name] = m
	r.byType[m.request] = m
}

// methodFor returns the method whose request type is that of message.
func (r *Registry) methodFor(message any) (method, error) {
	m, ok := r.byType[reflect.TypeOf(message)]
	if !ok {
		return method{}, fmt.Errorf("message type %T is not registered", message)
	}
	return m, nil
}

// decodeInto decodes JSON data into a new value of type t.
func decodeInto(t reflect.Type, data json.RawMessage) (any, error) {
	value := reflect.New(t)
	if len(data) > 0 {
		if err := json.Unmarshal(data, value.Interface()); err != nil {
			return nil, err
		}
	}
	return value.Elem().Interface(), nil
}
