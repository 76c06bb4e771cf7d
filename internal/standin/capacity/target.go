package capacity

// Target is the size that the system must support, with the limits on each node's control plane.
type Target struct {
	Nodes          float64
	Services       float64
	Routes         float64
	Zones          float64
	CallsPerSecond float64
	ChangesPerDay  float64
	RestartsPerDay float64
	ReadersPerZone float64
	// CPUPercent and MemoryMB are limits of a node's control plane; 100 percent is one core.
	CPUPercent float64
	MemoryMB   float64
	// ControlBytes is the limit of a node's control traffic, in bytes per second.
	ControlBytes        float64
	LinksPerNode        float64
	UpstreamsPerService float64
	RecordBytes         float64
	MemberBytes         float64
	// JoinRecordPeriod is the time between two join records of a log reader, in seconds.
	JoinRecordPeriod float64
}

// TwoYearsOut returns the users' target. The number of routes and the record and member sizes are assumptions.
func TwoYearsOut() Target {
	return Target{Nodes: 29_000, Services: 4_000, Routes: 8_000, Zones: 13, CallsPerSecond: 8_100_000, ChangesPerDay: 18_000,
		RestartsPerDay: 3_330, ReadersPerZone: 2, CPUPercent: 2.5, MemoryMB: 256, ControlBytes: 4096, LinksPerNode: 6,
		UpstreamsPerService: 29_000.0 / 4_000, RecordBytes: 600, MemberBytes: 180, JoinRecordPeriod: 5}
}

const secondsPerDay = 86_400
