package mtmemory

const (
	bytesPerMegabyte = 1_000_000
	// defaultMegabytes is the memory of the smallest instance; it applies if the memory of a process is not known.
	defaultMegabytes = 184
	// minMegabytes keeps the parts usable if a smaller value is set.
	minMegabytes = 64
	// codeBytes is the resident size of the program's text and data, which the runtime's limit does not count.
	codeBytes = 12 * bytesPerMegabyte

	callersRatio   = 0.45
	ordinaryRatio  = 0.07
	connectedRatio = 0.12
	responsesRatio = 0.10
	historyRatio   = 0.025
	unreadRatio    = 0.05
	pagesRatio     = 0.04
	// pageConnectionsRatio is the number of connections for pages relative to that of callers.
	pageConnectionsRatio = 0.125
	// marginRatio is left unused by the runtime, whose limit is not exact.
	marginRatio = 0.08

	// maxResponseBytes is enough for all responses that are worth buffering.
	maxResponseBytes = 32 << 20
	// connectionBytes is the memory of an idle connection: its goroutine, its buffer and its state.
	connectionBytes = 8 << 10

	// fileDescriptors is the part of the descriptors that is for files.
	fileDescriptors = 200
	// endpointRatio and minEndpointDescriptors are for connections to endpoints and peers, and for listeners.
	endpointRatio          = 0.25
	minEndpointDescriptors = 40
	minConnections         = 16
)

// Division is the memory of a process in bytes by use, and the number of connections of callers.
type Division struct {
	Total int64
	// Runtime is the limit of the Go runtime's memory.
	Runtime int64
	// Callers is for the requests of callers, of which Ordinary is for ordinary requests only.
	Callers  int64
	Ordinary int64
	// Responses is for responses of endpoints that are buffered.
	Responses int64
	// History is for the changes that are kept for other instances, over all feeds.
	History int64
	// Unread is for bytes that the kernel holds because a connection waits.
	Unread      int64
	Connections int
}

// Pages returns the division for the servers of pages, of the directory and of peers. Their connections are from the
// descriptors that are not for callers.
func (d Division) Pages() Division {
	pages := int64(float64(d.Total) * pagesRatio)
	return Division{
		Total:       pages,
		Callers:     pages,
		Ordinary:    pages / 2,
		Unread:      pages / 2,
		Connections: max(minConnections, int(float64(d.Connections)*pageConnectionsRatio)),
	}
}

// Divide returns the division for limits in a settings file, of which 0 means unknown.
func Divide(memoryMB float64, maxDescriptors int) Division {
	if memoryMB <= 0 {
		memoryMB = defaultMegabytes
	}
	total := max(memoryMB, minMegabytes) * bytesPerMegabyte
	division := Division{
		Total:       int64(total),
		Runtime:     int64(total*(1-unreadRatio-marginRatio)) - codeBytes,
		Callers:     int64(total * callersRatio),
		Ordinary:    int64(total * ordinaryRatio),
		Responses:   min(int64(total*responsesRatio), maxResponseBytes),
		History:     int64(total * historyRatio),
		Unread:      int64(total * unreadRatio),
		Connections: int(total * connectedRatio / connectionBytes),
	}
	if maxDescriptors > 0 {
		usable := maxDescriptors - fileDescriptors
		reserved := max(minEndpointDescriptors, int(float64(usable)*endpointRatio))
		division.Connections = max(minConnections, min(division.Connections, usable-reserved))
	}
	return division
}
