package domain

// Instance describes one instance of the system.
type Instance struct {
	ID            string `json:"id"`
	PeerAddress   string `json:"peer_address"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
}

// Validate returns an error for the first invalid field.
func (i Instance) Validate() error {
	if err := CheckName("id", i.ID); err != nil {
		return err
	}

	if err := CheckAddress("peer_address", i.PeerAddress); err != nil {
		return err
	}

	if err := CheckName("failure_domain", i.FailureDomain); err != nil {
		return err
	}

	return CheckName("region", i.Region)
}
