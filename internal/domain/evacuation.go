package domain

import (
	"encoding/json"

	"github.com/juju/errors"
)

// Evacuation says that the searchers of a failure domain get no requests until the operator takes
// it back.
type Evacuation struct {
	FailureDomain string `json:"failure_domain"`
}

// Validate returns an error for the first invalid field.
func (e Evacuation) Validate() error {
	if e.FailureDomain == "" {
		return invalid("failure_domain", "must not be empty")
	}

	return nil
}

// UnmarshalJSON decodes and checks an evacuation.
func (e *Evacuation) UnmarshalJSON(data []byte) error {
	type plain Evacuation

	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return errors.Annotate(err, "decode evacuation")
	}

	if err := Evacuation(p).Validate(); err != nil {
		return err
	}

	*e = Evacuation(p)

	return nil
}
