package soak

import "time"

// repeatAnswers lets a server refuse some requests, and send answers a second time on connections that are in use again.
func repeatAnswers(b *backend, duration time.Duration) error {
	b.options.Answers.Repeat(true)
	time.Sleep(duration)
	b.options.Answers.Repeat(false)
	return nil
}

// answerEndlessly lets a server answer with a reply that does not end, for some time.
func answerEndlessly(set func(form int), form int, duration time.Duration) error {
	set(form)
	time.Sleep(duration)
	set(0)
	return nil
}
