// Package degradation decides at which named level of reduced service the fleet and each zone are, why, and what would end
// it, and divides the admitted work among the request classes by the bounds of a level.
//
// Levels are ordered by severity above normal service, which is level 0. A Controller has one scope for the fleet and one
// for each zone; a gateway is at the severer level of its zone's and the fleet's. A level is entered when one of its
// triggers has been above its threshold for the level's EnterDelay, at once and over any levels between. It is left for
// the next lower one when all its triggers have been below their lower thresholds for LeaveDelay, which doubles each time
// that the level is soon entered again. Operators can force, forbid and hold levels for a limited time by overrides.
//
// The package is pure: times and signals are passed in. docs/levels.md gives the reasons for the rules.
//
// A reader starts with [Controller.Step]; [Settings.Check] has what valid settings must satisfy, [DivideAdmission] divides the
// admitted work. A Controller is not safe for concurrent use. Times are microseconds.
package degradation
