package ledger

import "time"

// Verdict is what an entry does with a request that carries an idempotency key.
type Verdict uint8

const (
	// Undecided waits for further replies.
	Undecided Verdict = iota
	// Run runs the request.
	Run
	// AlreadyRan tells the caller that the request ran, with its status.
	AlreadyRan
	// StillRunning tells the caller that an earlier send is in progress or ended
	// in a way that is not known.
	StillRunning
	// KeyReused tells the caller that the key was used for a different request.
	KeyReused
	// NoQuorum tells the caller that too few holders can vouch; not run.
	NoQuorum
)

// Decide returns the verdict on the replies to one claim that was sent to holders
// holders. Replies count once for each holder.
func Decide(replies []ClaimReply, holders int) Verdict { return Undecided }

// Round is an entry's claim of one key.
type Round struct{}

// NewRound returns the round of a claim that is sent to the holders at time now.
func NewRound(now time.Time, c Claim, holders []string) *Round { return nil }

// OnReply takes a holder's reply and returns the verdict so far.
func (r *Round) OnReply(now time.Time, reply ClaimReply) Verdict { return Undecided }

// Verdict returns the verdict so far; after ClaimTimeout it is never Undecided.
func (r *Round) Verdict(now time.Time) Verdict { return Undecided }

// MayStart reports whether the request may start to run at time now. It is called
// right before the request is forwarded, and returns true at most once.
func (r *Round) MayStart(now time.Time) bool { return false }

// Status returns the status of the earlier run with the verdict AlreadyRan.
func (r *Round) Status() int { return 0 }

// Finish returns the message for the holders after the request ran.
func (r *Round) Finish(status int) Finish { return Finish{} }

// Release returns the message for the holders when the request certainly did not
// run. After it MayStart returns false.
func (r *Round) Release() Release { return Release{} }
