package ledger

// Claim asks a replica for the right to run the request with an idempotency key.
type Claim struct {
	Team          string `json:"t"`
	Key           string `json:"k"`
	Attempt       string `json:"a"`           // unique for each time that an entry proxy receives the key
	RequestDigest uint64 `json:"d"`           // distinguishes a reused key from a retry
	ReplicaSet    uint64 `json:"h"`           // ReplicaSetID of the replicas that the entry proxy sends the claim to
	First         bool   `json:"f,omitempty"` // the caller states that it has not sent the key before
}

// Result is a replica's answer to a claim.
type Result uint8

const (
	// Granted means that the entry proxy may run the request once a quorum has granted
	// it.
	Granted Result = iota + 1
	// InProgress means that an earlier attempt is running or that its outcome is
	// unknown.
	InProgress
	// Finished means that an earlier attempt ran; Status is its HTTP status.
	Finished
	// RequestMismatch means that the key was used for a different request.
	RequestMismatch
	// NotCaughtUp means that the replica may have missed an earlier claim.
	NotCaughtUp
	// ReplicaSetMismatch means that the replica does not serve the shard with the
	// replica set of the claim, or that this set does not accept claims yet.
	ReplicaSetMismatch
	// RecordLimitReached means that the replica cannot store another record.
	RecordLimitReached
	// AlreadyReleased means that the claim was released before it arrived.
	AlreadyReleased
)

// ClaimReply answers a Claim.
type ClaimReply struct {
	Replica string `json:"h"`
	Attempt string `json:"a"`
	Result  Result `json:"r"`
	Status  int    `json:"s,omitempty"` // with Finished
}

// Finish records that a claimed request ran.
type Finish struct {
	Team          string `json:"t"`
	Key           string `json:"k"`
	Attempt       string `json:"a"`
	RequestDigest uint64 `json:"d"`
	Status        int    `json:"s"` // HTTP status of the response
}

// Release withdraws a claim. Only the entry proxy that made the claim may send it, and
// only if the request certainly did not run and will not run.
type Release struct {
	Team          string `json:"t"`
	Key           string `json:"k"`
	Attempt       string `json:"a"`
	RequestDigest uint64 `json:"d"`
}

// SyncRequest tells another replica of a shard which replica set the sender uses. If
// Records is set, it also requests the records from Page on.
type SyncRequest struct {
	Seq        uint64   `json:"q"`
	Shard      uint32   `json:"s"`
	From       string   `json:"f"`
	ReplicaSet uint64   `json:"h"`           // ReplicaSetID of the set that the sender uses
	Changed    bool     `json:"c,omitempty"` // the sender was in a different replica set of the shard before
	Kept       []string `json:"k,omitempty"` // if Changed, the other replicas that were in that set too
	Records    bool     `json:"r,omitempty"`
	Page       int      `json:"p,omitempty"` // first page to return, below PagesPerShard
}

// SyncResponse answers a SyncRequest. It has records only if its sender is caught up
// and uses the same replica set.
type SyncResponse struct {
	Seq        uint64   `json:"q"`
	Shard      uint32   `json:"s"`
	Replica    string   `json:"o"`
	ReplicaSet uint64   `json:"h"`           // ReplicaSetID of the set that the sender uses, 0 if it does not hold the shard
	CaughtUp   bool     `json:"v,omitempty"` // the sender is caught up for the shard
	Records    []Record `json:"r,omitempty"`
	Next       int      `json:"n,omitempty"` // next page to request; PagesPerShard after the last one
}

// AttemptState is the progress of one attempt. It only ever increases.
type AttemptState uint8

const (
	// Running means that the attempt was granted.
	Running AttemptState = iota + 1
	// Released means that the attempt certainly did not run.
	Released
	// Done means that the attempt ran.
	Done
)

// Record is one attempt as replicas exchange it.
type Record struct {
	Team          string       `json:"t"`
	Key           string       `json:"k"`
	Attempt       string       `json:"a"`
	RequestDigest uint64       `json:"d"`
	State         AttemptState `json:"s"`
	Status        int          `json:"c,omitempty"`
	RemainingMS   int64        `json:"m"` // time until the record expires
}
