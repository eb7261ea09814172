package node

import "time"

const (
	// leaveTimeout bounds the hand-over of one backend server. The longest timeout of a request is 30 s.
	leaveTimeout = 31 * time.Second
	// headerTimeout bounds the reading of a caller's header.
	headerTimeout = 5 * time.Second
	// idleTimeout closes callers' connections that are not used.
	idleTimeout = 2 * time.Minute
	// drainNotice is the time between the failing readiness check and the closing of listeners, in which the
	// balancer notices.
	drainNotice = time.Second
	// answerTimeout bounds the question whether a gateway answers.
	answerTimeout = 300 * time.Millisecond
	// leftPoll is the interval at which a planned stop looks for its end.
	leftPoll = 20 * time.Millisecond
)
