package fleet

import (
	"encoding/json"
	"fmt"
	"reflect"
)

// protocolVersion is the version of the control messages that this build
// writes. It reads its own version and the one before; unknown fields are
// ignored, so that builds one version apart run side by side.
const protocolVersion = 1

// envelope is what every control message carries.
type envelope struct {
	Version int             `json:"v"`
	From    string          `json:"from"`
	Message json.RawMessage `json:"m"`
}

// Ack is the reply to messages that need no other.
type Ack struct{}

// method binds a method name to the Go types of its request and reply.
type method struct {
	name    string
	request reflect.Type
	reply   reflect.Type
}

// Registry maps message types to JSON-RPC methods. It is filled before use and
// read-only afterwards.
type Registry struct {
	byName map[string]method
	byType map[reflect.Type]method
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{byName: make(map[string]method), byType: make(map[reflect.Type]method)}
}

// Register binds a method name to a request and a reply type. It panics when
// one of them is bound already, which is a programming error.
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

func (r *Registry) forMessage(message any) (method, error) {
	m, ok := r.byType[reflect.TypeOf(message)]
	if !ok {
		return method{}, fmt.Errorf("message type %T is not registered", message)
	}
	return m, nil
}

// decodeInto returns a new value of the type, filled from JSON.
func decodeInto(t reflect.Type, data json.RawMessage) (any, error) {
	value := reflect.New(t)
	if len(data) > 0 {
		if err := json.Unmarshal(data, value.Interface()); err != nil {
			return nil, err
		}
	}
	return value.Elem().Interface(), nil
}
