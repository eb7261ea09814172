// Package urgency maps the priorities of routes to a few levels of urgency.
package urgency

// Levels is the number of levels, of which 0 is the most urgent.
const Levels = 4

// Level returns the level of a priority. Priorities of Levels-1 and above share the last level.
func Level(priority int) int { return min(max(priority, 0), Levels-1) }
