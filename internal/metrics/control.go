package metrics

// Direction is the direction of control messages.
type Direction string

// Directions.
const (
	DirectionSent     Direction = "sent"
	DirectionReceived Direction = "received"
)

// CountControlMessage counts a control message of the given size.
func (m *Metrics) CountControlMessage(direction Direction, bytes int) {
	m.controlMessages.WithLabelValues(string(direction)).Inc()
	m.controlBytes.WithLabelValues(string(direction)).Add(float64(bytes))
}
