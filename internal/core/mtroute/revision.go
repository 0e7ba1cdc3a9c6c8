package mtroute

// Revision identifies the content of a configuration.
type Revision struct {
	Version uint64
	// Era is the era of the store in which the configuration was read.
	Era uint64
	// Digest is the hash of the configuration's record.
	Digest [32]byte
}

// Replaces reports whether a configuration replaces the one in force: if its version is higher, or if a store that was
// restored from a copy has another configuration under the same version, which is then a conflict.
func (r Revision) Replaces(inForce Revision) (replaces, isConflict bool) {
	if r.Version != inForce.Version {
		return r.Version > inForce.Version, false
	}
	isConflict = r.Era > inForce.Era && r.Digest != inForce.Digest
	return isConflict, isConflict
}
