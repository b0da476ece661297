package notice

import (
	"reflect"
	"slices"
	"testing"
)

// Guards against fields that do not survive the encoding and against messages
// that outgrow a datagram.
func TestMessagesSurviveTheEncoding(t *testing.T) {
	inFlight := make([]uint64, 64)
	for i := range inFlight {
		inFlight[i] = ^uint64(i)
	}
	entry := Server{
		ID: "i-17f5369d68", Service: "registro-consulta", Zone: "stgo-a", Addr: "10.128.10.132:18080",
		Created: 1 << 40, Revision: 1 << 40, Slots: 13, Draining: true, ColdMS: 3000, Born: 1_771_000_000_000,
	}
	for _, m := range []Message{
		{Status: &Status{Boot: 7, Seq: 9, Backend: "i-7f3a91c2", Bad: 0.25, AgeMS: 120, Running: 3, Waiting: 1, HeldMS: 700, Unheard: []string{"10.0.0.1"}}},
		{Ask: &Ask{ID: 4, Name: "bozi300", Count: 2}},
		{Grant: &Grant{ID: 4, WaitMS: 30}},
		{Crash: &Crash{ID: 5, InFlight: inFlight}},
		{StoreAsk: &StoreAsk{ID: 3}},
		{StoreState: &StoreState{ID: 3, Version: 44, AgeMS: 1200, Digest: ^uint64(0)}},
		{Version: &Version{Version: 44}},
		{Servers: &Servers{Put: slices.Repeat([]Server{entry}, ServersPerMessage), Gone: []string{"i-7746208cbf"}}},
	} {
		data, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if len(data) > MaxSize {
			t.Errorf("%d bytes", len(data))
		}
		back, err := Decode(data)
		if err != nil || !reflect.DeepEqual(m, back) {
			t.Errorf("%+v became %+v, %v", m, back, err)
		}
	}
}

// Guards against a process that a foreign datagram brings down.
func FuzzDecode(f *testing.F) {
	data, _ := Encode(Message{Ask: &Ask{ID: 1, Name: "a", Count: 1}})
	f.Add(data)
	f.Add([]byte{0xa1, 0x01, 0x80})
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = Decode(data) })
}
