package peer

import (
	"context"

	"primrosespring.example/internal/claims"
)

// Owners forwards operations on claims to the owners of their buckets. It is safe
// for concurrent use.
type Owners struct {
	mesh      *Mesh
	placement *Placement
}

// NewOwners returns the owners according to p, reached through m.
func NewOwners(m *Mesh, p *Placement) *Owners { return &Owners{mesh: m, placement: p} }

// Owner reports whether this instance owns a bucket. If not, the returned function
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
