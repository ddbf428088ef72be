package domain

import (
	"encoding/json"

	"github.com/juju/errors"
)

// Member is a member organisation with its share of capacity.
type Member struct {
	Name string `json:"name"`
	// Weight is the share relative to other member organisations.
	Weight uint32 `json:"weight"`
}

// DefaultMemberWeight is the weight of a member organisation that the
// configuration doesn't name.
const DefaultMemberWeight = 1

// Validate returns an error for the first invalid field.
func (m Member) Validate() error {
	if err := CheckName("name", m.Name); err != nil {
		return err
	}

	if m.Weight == 0 || m.Weight > MaxMemberWeight {
		return invalid("weight", "is %d; must be 1 to %d", m.Weight, MaxMemberWeight)
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
