package ledger

// Claim asks a holder for the right to run the request with an idempotency key.
type Claim struct {
	Team    string `json:"t"`
	Key     string `json:"k"`
	Attempt string `json:"a"`           // unique for each send of the key that an entry handles
	Request uint64 `json:"d"`           // digest of the request, which tells a reused key from a resend
	Holders uint64 `json:"h"`           // SetID of the holders that the entry asks
	First   bool   `json:"f,omitempty"` // the caller states that this is the first send of the key
}

// Result is a holder's answer to a claim.
type Result uint8

const (
	// Granted lets the entry run the request once enough holders grant it.
	Granted Result = iota + 1
	// InProgress means that an earlier claim runs or that its end is not known.
	InProgress
	// Finished means that an earlier claim ran; Status is its status.
	Finished
	// Mismatch means that the key was used for a different request.
	Mismatch
	// CannotVouch means that the holder may have missed an earlier claim.
	CannotVouch
	// OtherHolders means that the holder does not serve the shard with the set of
	// holders that the entry asked.
	OtherHolders
	// Full means that the holder has no room for another record.
	Full
	// Withdrawn means that the claim was released before it arrived.
	Withdrawn
)

// ClaimReply answers a Claim.
type ClaimReply struct {
	Holder  string `json:"h"`
	Attempt string `json:"a"`
	Result  Result `json:"r"`
	Status  int    `json:"s,omitempty"` // with Finished
}

// Finish records that a claimed request ran.
type Finish struct {
	Team    string `json:"t"`
	Key     string `json:"k"`
	Attempt string `json:"a"`
	Request uint64 `json:"d"`
	Status  int    `json:"s"` // HTTP status of the answer
}

// Release gives a claim back. Only the entry that made the claim may send it, and
// only if the request certainly did not run and will not.
type Release struct {
	Team    string `json:"t"`
	Key     string `json:"k"`
	Attempt string `json:"a"`
	Request uint64 `json:"d"`
}

// SyncAsk tells another holder of a shard which set its sender uses, and asks for
// one page of the records if Records is set.
type SyncAsk struct {
	Seq     uint64   `json:"q"`
	Shard   uint32   `json:"s"`
	From    string   `json:"f"`
	Holders uint64   `json:"h"`           // SetID of the set that the sender uses
	Changed bool     `json:"c,omitempty"` // the sender was in another set of the shard before
	Kept    []string `json:"k,omitempty"` // with Changed: those that were in that set too
	Records bool     `json:"r,omitempty"`
	Page    int      `json:"p,omitempty"` // first page asked for, below Pages
}

// Export answers a SyncAsk.
type Export struct {
	Seq     uint64   `json:"q"`
	Shard   uint32   `json:"s"`
	Holder  string   `json:"o"`
	Holders uint64   `json:"h"`           // SetID of the set that the answering holder uses, 0 if it is no holder
	Vouches bool     `json:"v,omitempty"` // the holder vouches for the shard
	Records []Record `json:"r,omitempty"`
	Next    int      `json:"n,omitempty"` // page to go on with; Pages after the last
}

// AttemptState says how far one attempt has come. States only ever grow.
type AttemptState uint8

const (
	// Running attempts were granted.
	Running AttemptState = iota + 1
	// Released attempts certainly did not run.
	Released
	// Done attempts ran.
	Done
)

// Record is what a holder remembers of one attempt.
type Record struct {
	Team        string       `json:"t"`
	Key         string       `json:"k"`
	Attempt     string       `json:"a"`
	Request     uint64       `json:"d"`
	State       AttemptState `json:"s"`
	Status      int          `json:"c,omitempty"`
	RemainingMS int64        `json:"m"` // time for which it is still remembered
}
