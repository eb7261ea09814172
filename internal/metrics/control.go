package metrics

// Direction is the direction of a control message, as seen by this gateway.
type Direction string

const (
	DirectionSent     Direction = "sent"
	DirectionReceived Direction = "received"
)

// CountControlMessage counts one control message and its size in bytes.
func (m *Metrics) CountControlMessage(direction Direction, bytes int) {
	m.controlMessages.WithLabelValues(string(direction)).Inc()
	m.controlBytes.WithLabelValues(string(direction)).Add(float64(bytes))
}
