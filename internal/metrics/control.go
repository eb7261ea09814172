package metrics

// Direction is the direction of a control message, as seen by this gateway.
type Direction string

const (
	Sent     Direction = "sent"
	Received Direction = "received"
)

// ControlMessage counts one control message and its size in bytes.
func (m *Metrics) ControlMessage(direction Direction, bytes int) {
	m.controlMessages.WithLabelValues(string(direction)).Inc()
	m.controlBytes.WithLabelValues(string(direction)).Add(float64(bytes))
}
