package resumer

const (
	// minPartOwners is the number of requests that must have been seen before their last prompt parts are taken to be their own.
	minPartOwners = 4
	// maxPartOwners limits the parts that are remembered, at about 50 bytes each.
	maxPartOwners = 4096
)

// PartOwners tells whether the last prompt part of each request of a service belongs to that request alone. It is not safe for
// concurrent use.
type PartOwners struct {
	owners    map[uint64]uint64
	isShared  bool
	hasEnough bool
}

// Record records the last prompt part of a request, which is identified by the hash of its content.
func (o *PartOwners) Record(part, request uint64) {
	if o.isShared {
		return
	}
	if o.owners == nil || len(o.owners) >= maxPartOwners {
		o.owners = map[uint64]uint64{}
	}
	if owner, ok := o.owners[part]; ok && owner != request {
		o.isShared, o.owners = true, nil

		return
	}
	o.owners[part] = request
	o.hasEnough = o.hasEnough || len(o.owners) >= minPartOwners
}

// AreOwn reports whether enough requests have been seen, and no two with the same last part.
func (o *PartOwners) AreOwn() bool {
	return o.hasEnough && !o.isShared
}
