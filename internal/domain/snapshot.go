package domain

// Snapshot identifies the versions of the data that an answer comes from.
type Snapshot struct {
	IndexVersion        uint64 `json:"index_version"`
	PartitionMapVersion uint64 `json:"partition_map_version"`
}

// Newer reports whether s is newer than o: the partition map version decides first,
// since index versions of different maps hold different shards.
func (s Snapshot) Newer(o Snapshot) bool {
	if s.PartitionMapVersion != o.PartitionMapVersion {
		return s.PartitionMapVersion > o.PartitionMapVersion
	}

	return s.IndexVersion > o.IndexVersion
}
