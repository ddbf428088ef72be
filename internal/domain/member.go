package domain

import (
	"encoding/json"
	"math"

	"github.com/juju/errors"
)

// Member is a member organisation with its share of capacity.
type Member struct {
	Name string `json:"name"`
	// Weight is the share relative to other member organisations.
	Weight uint32 `json:"weight"`
	// Keys are the digests of the keys by which callers act for the member organisation.
	Keys []KeyDigest `json:"keys,omitempty"`
	// Priority, if set, ranks its requests in place of the route's; 0 is the highest.
	Priority *uint32 `json:"priority,omitempty"`
	// Cap bounds its requests; the zero value doesn't.
	Cap Cap `json:"cap,omitzero"`
}

// Cap bounds the requests of a member organisation at all instances together: those of any
// time t number at most Rate*t + Burst.
type Cap struct {
	// Rate is in requests a second; zero means that there is no bound.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// DefaultMemberWeight is the weight of a member organisation that the
// configuration doesn't name.
const DefaultMemberWeight = 1

// Limited reports whether there is a bound.
func (c Cap) Limited() bool { return c.Rate > 0 }

// Validate returns an error for the first invalid field.
func (c Cap) Validate() error {
	for _, f := range []struct {
		field string
		value float64
	}{{"rate", c.Rate}, {"burst", c.Burst}} {
		if math.IsNaN(f.value) || f.value < 0 || f.value > MaxCap {
			return invalid(f.field, "is %g; must be 0 to %d", f.value, MaxCap)
		}
	}

	return nil
}

// Validate returns an error for the first invalid field. It never names a key.
func (m Member) Validate() error {
	if err := m.checkName(); err != nil {
		return err
	}

	if m.Weight == 0 || m.Weight > MaxMemberWeight {
		return invalid("weight", "is %d; must be 1 to %d", m.Weight, MaxMemberWeight)
	}

	for i := range m.Keys {
		if m.Keys[i] == (KeyDigest{}) {
			return invalid("keys", "entry %d is empty", i)
		}
	}

	return InField("cap", m.Cap.Validate())
}

// checkName checks the name. That of a member organisation with keys comes from the operator of
// the platform and is sent to searchers in a header.
func (m Member) checkName() error {
	if len(m.Keys) == 0 {
		return CheckName("name", m.Name)
	}

	if m.Name == "" || len(m.Name) > MaxNameLength {
		return invalid("name", "has %d characters; must have 1 to %d", len(m.Name), MaxNameLength)
	}

	for _, c := range []byte(m.Name) {
		if c <= ' ' || c > '~' {
			return invalid("name", "%q must consist of visible ASCII characters", m.Name)
		}
	}

	return nil
}

// UnmarshalJSON decodes and checks a member organisation.
func (m *Member) UnmarshalJSON(data []byte) error {
	type plain Member

	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return errors.Annotate(err, "decode member")
	}

	if err := Member(p).Validate(); err != nil {
		return err
	}

	*m = Member(p)

	return nil
}
