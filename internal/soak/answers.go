package soak

import "time"

// answerEndlessly lets a server answer with a reply that does not end, for some time.
func answerEndlessly(set func(form int), form int, duration time.Duration) error {
	set(form)
	time.Sleep(duration)
	set(0)
	return nil
}

// rejectUploads lets the servers of the service for uploads reject these before they have read them.
func (d *deployment) rejectUploads(on bool) {
	for _, b := range d.backends[keyedBackendCount : keyedBackendCount+onceBackendCount] {
		b.options.Answers.RejectEarly(on)
	}
}

// answerWrongly lets a server answer wrongly for some time.
func answerWrongly(set func(on bool), duration time.Duration) error {
	set(true)
	time.Sleep(duration)
	set(false)
	return nil
}
