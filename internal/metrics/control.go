package metrics

// Direction is the direction of control messages.
type Direction string

// Directions.
const (
	Sent     Direction = "sent"
	Received Direction = "received"
)

// ControlMessage counts a control message of the given size.
func (m *Metrics) ControlMessage(direction Direction, bytes int) {
	m.controlMessages.WithLabelValues(string(direction)).Inc()
	m.controlBytes.WithLabelValues(string(direction)).Add(float64(bytes))
}
