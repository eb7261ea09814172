package controller

import (
	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
)

// markLeaving records the backend servers that said in a response to a gateway that they leave. Their keys move as if their
// entries said so.
func (c *Controller) markLeaving(host string, incarnations []directory.Incarnation) {
	for _, incarnation := range incarnations {
		if !c.directory.MarkLeaving(c.Clock(), incarnation) {
			continue
		}
		c.dirty = true
		c.serversVersion++
		c.Log.WithFields(logrus.Fields{
			"server": incarnation.ID, "started_ms": incarnation.StartedAtMs, "gateway": host,
		}).Info("backend server says that it leaves; its keys move")
	}
}

// observeAnswer applies what a backend server said of itself in the answer to an order.
func (c *Controller) observeAnswer(result ownership.Result) {
	if result.Leaving {
		receiver := result.Order.Receiver()
		c.markLeaving(c.Host, []directory.Incarnation{{ID: receiver.ID, StartedAtMs: receiver.StartedAtMs}})
	}
}
