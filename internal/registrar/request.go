package registrar

import (
	"cmp"
	"fmt"
	"strings"

	"github.com/benbjohnson/immutable"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

const (
	// MaxAnswerBytes is the maximum size of an answer that is recorded with its claim.
	MaxAnswerBytes = 64 << 10
	// maxTotalAnswerBytes bounds the total size of recorded answers. The oldest are dropped first.
	maxTotalAnswerBytes = 64 << 20
	// answerRetention is how long an answer is kept. After that its key stays claimed.
	answerRetention = timekeeper.Hour
	// maxClaims bounds the number of claims. New keys are refused while the table is full.
	maxClaims = 250_000
	// claimRetention is how long a key stays claimed after its request ended.
	claimRetention = 7 * 24 * timekeeper.Hour
)

// RequestKey identifies a request that may run at most once. Key is the caller's idempotency key.
type RequestKey struct {
	Workspace string `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint"`
}

type requestKeyComparer struct{}

func (requestKeyComparer) Compare(a, b RequestKey) int {
	return cmp.Or(strings.Compare(a.Workspace, b.Workspace), strings.Compare(a.Key, b.Key))
}

// RequestPhase is the state of a claimed request.
type RequestPhase uint8

// The phases of a claimed request.
const (
	RequestClaimed  RequestPhase = iota // its owner may have sent it to the target
	RequestOrphaned                     // its owner is lost; the target may have received it
	RequestFinished                     // the answer is recorded, or was until it expired
	RequestNotRun                       // it is proved that no backend server received it
	RequestUnknown                      // it is not known whether it ran
)

var requestPhaseNames = []string{"claimed", "orphaned", "finished", "not-run", "unknown"}

// String returns the phase's name.
func (p RequestPhase) String() string {
	if int(p) >= len(requestPhaseNames) {
		return "invalid"
	}
	return requestPhaseNames[p]
}

// Target is the agent process to which a claimed request is sent. A later incarnation has no record of the request.
type Target struct {
	Agent       string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"`
}

// RecordedAnswer is the complete answer to a finished request.
type RecordedAnswer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Body        []byte `cbor:"3,keyasint"`
	TooLarge    bool   `cbor:"4,keyasint"` // the answer was returned to the caller but is too large to record
}

// Request is a claimed request. It is immutable.
//
// Invariants: Attempt never decreases, and it increases only when the last attempt is proved not to have started. A
// finished or unknown request never changes, but that an expired answer is dropped.
type Request struct {
	Key     RequestKey        `cbor:"1,keyasint"`
	Digest  []byte            `cbor:"2,keyasint"` // SHA-256 of method, path and body
	Attempt int               `cbor:"3,keyasint"`
	Owner   string            `cbor:"4,keyasint"` // entry process
	Target  Target            `cbor:"5,keyasint"`
	Phase   RequestPhase      `cbor:"6,keyasint"`
	Answer  *RecordedAnswer   `cbor:"7,keyasint"`
	Changed timekeeper.Millis `cbor:"8,keyasint"`
	Reason  string            `cbor:"9,keyasint"`
	Nonce   string            `cbor:"10,keyasint"` // identifies the claim of the current attempt
}

// RequestStep is one change of a claimed request.
//
//   - Without From and Phase it claims Key, with Digest, Owner and Target.
//   - With From it takes over from an attempt that is proved not to have started, by compare-and-set on owner and
//     attempt number.
//   - With Phase it ends attempt number Attempt of Owner. If Attempt is zero, it ends the attempt that the claim with
//     the same Nonce was granted.
type RequestStep struct {
	Key     RequestKey      `cbor:"1,keyasint"`
	Digest  []byte          `cbor:"2,keyasint,omitempty"`
	Owner   string          `cbor:"3,keyasint"`
	Target  Target          `cbor:"4,keyasint,omitempty"`
	From    *AttemptRef     `cbor:"5,keyasint,omitempty"`
	Attempt int             `cbor:"6,keyasint,omitempty"`
	Phase   RequestPhase    `cbor:"7,keyasint,omitempty"`
	Answer  *RecordedAnswer `cbor:"8,keyasint,omitempty"`
	Reason  string          `cbor:"9,keyasint,omitempty"`
	Nonce   string          `cbor:"10,keyasint,omitempty"` // identifies the claim, so that a resend is granted as the same one
}

// AttemptRef identifies an attempt of a request by its owner and number.
type AttemptRef struct {
	Owner   string `cbor:"1,keyasint"`
	Attempt int    `cbor:"2,keyasint"`
}

// RequestView is the result of a step. Request is the request after it, and Granted reports whether the step applied.
type RequestView struct {
	Granted   bool    `cbor:"1,keyasint"`
	TableFull bool    `cbor:"2,keyasint,omitempty"` // refused: the claim table is full
	KeyReused bool    `cbor:"3,keyasint,omitempty"` // refused: the key is claimed with another digest
	Request   Request `cbor:"4,keyasint"`
}

type timedKey struct {
	at  timekeeper.Millis
	key RequestKey
}

type timedKeyComparer struct{}

func (timedKeyComparer) Compare(a, b timedKey) int {
	return cmp.Or(cmp.Compare(a.at, b.at), requestKeyComparer{}.Compare(a.key, b.key))
}

// claimTable holds the claimed requests and their indexes. Its maps are immutable, so a copy of the table is a
// snapshot.
//
// A request is pending while it is claimed or orphaned, and ended in every other phase.
type claimTable struct {
	byKey          *immutable.SortedMap[RequestKey, *Request]
	pendingByOwner *immutable.SortedMap[string, *immutable.SortedMap[RequestKey, struct{}]] // keys of pending requests
	answered       *immutable.SortedMap[timedKey, struct{}]                                 // ended, with a recorded answer, by end time
	ended          *immutable.SortedMap[timedKey, struct{}]                                 // by end time
	answerBytes    int                                                                      // total size of recorded answers
}

func newClaimTable() claimTable {
	return claimTable{
		byKey:          immutable.NewSortedMap[RequestKey, *Request](requestKeyComparer{}),
		pendingByOwner: immutable.NewSortedMap[string, *immutable.SortedMap[RequestKey, struct{}]](nil),
		answered:       immutable.NewSortedMap[timedKey, struct{}](timedKeyComparer{}),
		ended:          immutable.NewSortedMap[timedKey, struct{}](timedKeyComparer{}),
	}
}

func (c *claimTable) applyStep(now timekeeper.Millis, s RequestStep) RequestView {
	r, known := c.byKey.Get(s.Key)
	switch {
	case s.Phase != RequestClaimed:
		return c.endAttempt(now, r, s)
	case s.From != nil:
		return c.takeOver(now, r, s)
	case known && string(r.Digest) != string(s.Digest):
		return RequestView{KeyReused: true, Request: *r}
	case known && r.Phase == RequestNotRun:
		return c.claimNotRun(now, r, s)
	case known:
		return RequestView{Granted: r.heldBy(s), Request: *r}
	case c.byKey.Len() >= maxClaims:
		return RequestView{TableFull: true}
	}
	next := &Request{
		Key: s.Key, Digest: s.Digest, Attempt: 1, Owner: s.Owner, Target: s.Target, Changed: now, Nonce: s.Nonce,
	}
	c.put(nil, next)
	return RequestView{Granted: true, Request: *next}
}

// heldBy reports whether s is a resend of the claim that holds the request.
func (r *Request) heldBy(s RequestStep) bool {
	return r.Phase == RequestClaimed && r.Owner == s.Owner && r.Nonce == s.Nonce
}

// claimNotRun starts a new attempt of a request that is proved not to have run.
func (c *claimTable) claimNotRun(now timekeeper.Millis, r *Request, s RequestStep) RequestView {
	next := *r
	next.Attempt++
	next.Owner, next.Target, next.Nonce = s.Owner, s.Target, s.Nonce
	next.Phase, next.Reason, next.Changed = RequestClaimed, "", now
	c.put(r, &next)
	return RequestView{Granted: true, Request: next}
}

// takeOver replaces a pending attempt that is proved not to have started by a new one. A resend is granted again.
func (c *claimTable) takeOver(now timekeeper.Millis, r *Request, s RequestStep) RequestView {
	if r == nil {
		return RequestView{}
	}
	if r.heldBy(s) && r.Attempt == s.From.Attempt+1 {
		return RequestView{Granted: true, Request: *r}
	}
	pending := r.Phase == RequestClaimed || r.Phase == RequestOrphaned
	if !pending || r.Owner != s.From.Owner || r.Attempt != s.From.Attempt {
		return RequestView{Request: *r}
	}
	next := *r
	next.Attempt++
	next.Owner, next.Target, next.Nonce = s.Owner, s.Target, s.Nonce
	next.Phase, next.Changed = RequestClaimed, now
	c.put(r, &next)
	return RequestView{Granted: true, Request: next}
}

// endAttempt ends a pending attempt. It does not change a request that has ended already.
func (c *claimTable) endAttempt(now timekeeper.Millis, r *Request, s RequestStep) RequestView {
	if r == nil {
		return RequestView{}
	}
	pending := r.Phase == RequestClaimed || r.Phase == RequestOrphaned
	anyAttempt := s.Attempt == 0 && s.Nonce != ""
	if !pending || r.Owner != s.Owner || r.Nonce != s.Nonce || r.Attempt != s.Attempt && !anyAttempt {
		return RequestView{Request: *r}
	}
	next := *r
	next.Phase, next.Answer, next.Reason, next.Changed = s.Phase, s.Answer, s.Reason, now
	c.put(r, &next)
	return RequestView{Granted: true, Request: next}
}

// orphan marks the claimed requests of a lost owner as orphaned and returns their number.
func (c *claimTable) orphan(now timekeeper.Millis, owner string) int {
	set, ok := c.pendingByOwner.Get(owner)
	if !ok {
		return 0
	}
	n := 0
	for it := set.Iterator(); !it.Done(); {
		key, _, _ := it.Next()
		r, _ := c.byKey.Get(key)
		if r.Phase != RequestClaimed {
			continue
		}
		next := *r
		next.Phase, next.Changed = RequestOrphaned, now
		c.put(r, &next)
		n++
	}
	return n
}

// put replaces old, which is nil for a new key, by next and updates the indexes.
func (c *claimTable) put(old, next *Request) {
	c.unindex(old)
	c.byKey = c.byKey.Set(next.Key, next)
	if next.Phase == RequestClaimed || next.Phase == RequestOrphaned {
		set, ok := c.pendingByOwner.Get(next.Owner)
		if !ok {
			set = immutable.NewSortedMap[RequestKey, struct{}](requestKeyComparer{})
		}
		c.pendingByOwner = c.pendingByOwner.Set(next.Owner, set.Set(next.Key, struct{}{}))
		return
	}
	c.ended = c.ended.Set(timedKey{next.Changed, next.Key}, struct{}{})
	if next.Answer != nil {
		c.answered = c.answered.Set(timedKey{next.Changed, next.Key}, struct{}{})
		c.answerBytes += len(next.Answer.Body)
	}
}

func (c *claimTable) unindex(r *Request) {
	if r == nil {
		return
	}
	if r.Phase == RequestClaimed || r.Phase == RequestOrphaned {
		set, _ := c.pendingByOwner.Get(r.Owner)
		set = set.Delete(r.Key)
		if set.Len() == 0 {
			c.pendingByOwner = c.pendingByOwner.Delete(r.Owner)
			return
		}
		c.pendingByOwner = c.pendingByOwner.Set(r.Owner, set)
		return
	}
	c.ended = c.ended.Delete(timedKey{r.Changed, r.Key})
	if r.Answer != nil {
		c.answered = c.answered.Delete(timedKey{r.Changed, r.Key})
		c.answerBytes -= len(r.Answer.Body)
	}
}

// expire drops answers that are too old or exceed the total size, and ended requests after claimRetention.
func (c *claimTable) expire(now timekeeper.Millis) {
	for c.answered.Len() > 0 {
		it := c.answered.Iterator()
		oldest, _, _ := it.Next()
		if c.answerBytes <= maxTotalAnswerBytes && now-oldest.at < answerRetention {
			break
		}
		r, _ := c.byKey.Get(oldest.key)
		next := *r
		next.Answer = nil
		next.Reason = fmt.Sprintf("finished; its answer was kept for %d minutes", answerRetention/timekeeper.Minute)
		c.put(r, &next)
	}
	for c.ended.Len() > 0 {
		it := c.ended.Iterator()
		oldest, _, _ := it.Next()
		if now-oldest.at < claimRetention {
			return
		}
		r, _ := c.byKey.Get(oldest.key)
		c.unindex(r)
		c.byKey = c.byKey.Delete(oldest.key)
	}
}
