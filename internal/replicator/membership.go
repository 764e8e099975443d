package replicator

import (
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
)

// ReplicaID identifies a replica for the lifetime of its data folder. Zero identifies no replica.
type ReplicaID uint64

// Member is one replica of the log. A member that is not a voter is a learner: it receives the log but has no vote.
type Member struct {
	ID      ReplicaID `cbor:"1,keyasint"`
	Address string    `cbor:"2,keyasint"`
	Voter   bool      `cbor:"3,keyasint"`
}

// Membership is an immutable list of members and of the addresses (seats) at which replicas may join.
type Membership struct {
	Members []Member `cbor:"1,keyasint"`
	Seats   []string `cbor:"2,keyasint"`
}

// Member returns the member with the given id.
func (m Membership) Member(id ReplicaID) (Member, bool) {
	i := slices.IndexFunc(m.Members, func(o Member) bool { return o.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return m.Members[i], true
}

// MemberAt returns the member with the given address.
func (m Membership) MemberAt(address string) (Member, bool) {
	i := slices.IndexFunc(m.Members, func(o Member) bool { return o.Address == address })
	if i < 0 {
		return Member{}, false
	}
	return m.Members[i], true
}

// Voters returns the number of voting members.
func (m Membership) Voters() int {
	n := 0
	for _, o := range m.Members {
		if o.Voter {
			n++
		}
	}
	return n
}

// IsVoter reports whether id identifies a voting member.
func (m Membership) IsVoter(id ReplicaID) bool {
	o, ok := m.Member(id)
	return ok && o.Voter
}

// WithMember returns a copy in which o is added or replaces the member with its ID.
func (m Membership) WithMember(o Member) Membership {
	m = m.WithoutMember(o.ID)
	m.Members = append(m.Members, o)
	return m
}

// WithoutMember returns a copy without the member with the given id.
func (m Membership) WithoutMember(id ReplicaID) Membership {
	m.Members = slices.DeleteFunc(slices.Clone(m.Members), func(o Member) bool { return o.ID == id })
	return m
}

// WithSeat returns a copy in which a replica may join at address.
func (m Membership) WithSeat(address string) Membership {
	if !slices.Contains(m.Seats, address) {
		m.Seats = append(slices.Clone(m.Seats), address)
	}
	return m
}

// WithoutSeat returns a copy in which no replica may join at address.
func (m Membership) WithoutSeat(address string) Membership {
	m.Seats = slices.DeleteFunc(slices.Clone(m.Seats), func(s string) bool { return s == address })
	return m
}

// Promote returns a copy in which a learner that has caught up is a voter. If a member with an earlier identity has the
// same address, Promote removes that member instead and sets removed; the promotion then needs a second change. The
// disk of the earlier identity is lost, so that it can never vote again.
func (m Membership) Promote(learner Member) (next Membership, removed bool) {
	for _, o := range m.Members {
		if o.Address == learner.Address && o.ID != learner.ID {
			return m.WithoutMember(o.ID), true
		}
	}
	learner.Voter = true
	return m.WithMember(learner), false
}

// WithLearner returns a copy in which a new replica is a learner. It replaces an earlier learner at the same address.
func (m Membership) WithLearner(id ReplicaID, address string) Membership {
	for _, o := range m.Members {
		if o.Address == address && !o.Voter {
			m = m.WithoutMember(o.ID)
		}
	}
	return m.WithMember(Member{ID: id, Address: address})
}

// quorum reports whether agrees holds for a majority of the voters.
func (m Membership) quorum(agrees func(ReplicaID) bool) bool {
	n := 0
	for _, o := range m.Members {
		if o.Voter && agrees(o.ID) {
			n++
		}
	}
	return n > m.Voters()/2
}

func (m Membership) encode() []byte {
	data, err := encoder.Marshal(m)
	if err != nil {
		panic(err) // unreachable: a Membership holds only strings, numbers and booleans
	}
	return data
}

func decodeMembership(data []byte) (Membership, error) {
	var m Membership
	if len(data) == 0 {
		return m, nil
	}
	err := encoder.Unmarshal(data, &m)
	return m, err
}
