package notice

import (
	"reflect"
	"slices"
	"testing"
)

// Guards against fields that are lost or changed by the encoding, and against messages
// that exceed the maximum size of a datagram.
func TestMessageRoundTrip(t *testing.T) {
	inFlight := make([]uint64, 64)
	for i := range inFlight {
		inFlight[i] = ^uint64(i)
	}
	entry := Server{
		ID: "i-17f5369d68", Service: "registro-consulta", Zone: "stgo-a", Addr: "10.128.10.132:18080",
		CreateRevision: 1 << 40, Revision: 1 << 40, Slots: 13, Draining: true, WarmUpLeftMS: 3000, StartUnixMS: 1_771_000_000_000,
	}
	for _, m := range []Message{
		{Status: &Status{BootID: 7, Seq: 9, Backend: "i-7f3a91c2", BadProbability: 0.25, AgeMS: 120, Running: 3, Waiting: 1, MeanServiceTimeMS: 700, Unheard: []string{"10.0.0.1"}}},
		{Status: &Status{BootID: 7, Seq: 10, Backend: "i-7f3a91c2"}, BackendLimit: &BackendLimit{Limited: true, PerSecond: 4.2, WaitMS: 350}},
		{Status: &Status{BootID: 7, Unheard: slices.Repeat([]string{"10.128.10.132"}, 32)}, Era: 2, Evacuations: &Evacuations{Revision: 1 << 40, Zones: []string{"stgo-a", "stgo-b", "stgo-c"}}},
		{TokenRequest: &TokenRequest{ID: 4, Name: "bozi300", Count: 2}},
		{TokenGrant: &TokenGrant{ID: 4, WaitMS: 30}},
		{Crash: &Crash{ID: 5, InFlight: inFlight}},
		{StoreQuery: &StoreQuery{ID: 3}},
		{StoreState: &StoreState{ID: 3, Version: 44, AgeMS: 1200, Digest: ^uint64(0)}},
		{ConfigVersion: &ConfigVersion{Version: 44}},
		{ServerListChange: &ServerListChange{Put: slices.Repeat([]Server{entry}, MaxServersPerChange), Removed: []string{"i-7746208cbf"}}},
	} {
		data, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if len(data) > MaxDatagramSize {
			t.Errorf("message of %d bytes exceeds the maximum datagram size", len(data))
		}
		back, err := Decode(data)
		if err != nil || !reflect.DeepEqual(m, back) {
			t.Errorf("decoded %+v as %+v, error %v", m, back, err)
		}
	}
}

// Guards against a malformed datagram that causes a panic.
func FuzzDecode(f *testing.F) {
	data, _ := Encode(Message{TokenRequest: &TokenRequest{ID: 1, Name: "a", Count: 1}})
	f.Add(data)
	f.Add([]byte{0xa1, 0x01, 0x80})
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = Decode(data) })
}
