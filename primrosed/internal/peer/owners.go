package peer

import (
	"context"

	"primrosespring.example/internal/claims"
)

// Owners reaches the owners of buckets of claims. It is safe for concurrent
// use.
type Owners struct {
	mesh      *Mesh
	placement *Placement
}

// NewOwners returns the owners that follow from the placement.
func NewOwners(m *Mesh, p *Placement) *Owners { return &Owners{mesh: m, placement: p} }

// Owner reports whether this instance owns a bucket; otherwise the function
// sends an operation to the owner.
func (o *Owners) Owner(bucket claims.BucketID) (bool, func(context.Context, claims.Operation) (claims.Result, error)) {
	owner, self := o.placement.BucketOwner(bucket)
	if self {
		return true, nil
	}

	return false, func(ctx context.Context, op claims.Operation) (claims.Result, error) {
		return o.mesh.ApplyClaim(ctx, owner, op)
	}
}
