package quarantine

import (
	"encoding/hex"
	"time"

	"github.com/juju/errors"
)

// Report is what an operator sees of a suspect.
type Report struct {
	Content Digest `json:"content"`
	Route   string `json:"route"`
	Held    bool   `json:"held"`
	// RetryAfterMS is the time until the content may be tried at the instance that saw the
	// last strike, in milliseconds.
	RetryAfterMS int64          `json:"retry_after_ms"`
	Strikes      []StrikeReport `json:"strikes"`
}

// StrikeReport is one strike of a Report.
type StrikeReport struct {
	Instance string `json:"instance"`
	AgeMS    int64  `json:"age_ms"`
}

// Validate returns an error for the first invalid field.
func (r *Report) Validate() error {
	if r.Route == "" || len(r.Strikes) == 0 || r.RetryAfterMS < 0 {
		return errors.Errorf("suspect %s: it has no route or strike, or a negative time", r.Content)
	}

	return nil
}

// Reports returns the suspects for an operator, those struck last first.
func (t *Table) Reports(now time.Time) []Report {
	suspects := t.All(now)
	out := make([]Report, len(suspects))

	for i := range suspects {
		s := &suspects[i]
		last := s.Strikes[len(s.Strikes)-1].Age
		out[i] = Report{Content: s.Content, Route: s.Route, Held: len(s.Strikes) >= MaxStrikes}

		wait := trialDelay

		switch {
		case out[i].Held:
			wait = t.hold
		case len(s.Strikes) == 1:
			wait = 0
		}

		out[i].RetryAfterMS = max(wait-last, 0).Milliseconds()

		for _, k := range s.Strikes {
			out[i].Strikes = append(out[i].Strikes, StrikeReport{k.Instance, k.Age.Milliseconds()})
		}
	}

	return out
}

// ParseDigest returns the digest with that hexadecimal text.
func ParseDigest(text string) (Digest, error) {
	var d Digest

	err := d.UnmarshalText([]byte(text))

	return d, err
}

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != len(d) {
		return errors.Errorf("content %q isn't %d hexadecimal digits", text, 2*len(d))
	}

	copy(d[:], b)

	return nil
}
