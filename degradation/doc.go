// Package degradation decides the named level of reduced service of the fleet and of each zone, with the reason and the
// conditions that end it. It also divides the admitted work among the request classes by the bounds of a level.
//
// Levels are ordered by severity, above normal service, which is level 0. A Controller has one scope for the fleet and one for each
// zone; the level of a gateway is the severer of its zone's and the fleet's. A level is entered, without passing through the levels
// between, when one of its triggers has been at or above its enter threshold for the level's EnterDelay. It is left for the next
// less severe level when all its triggers have been at or below their leave thresholds for LeaveDelay, which doubles each time that
// the level is entered again soon after it was left. Operators can force, forbid and hold levels for a limited time by overrides.
//
// The package is pure: times and signals are passed in. docs/levels.md gives the reasons for the rules.
//
// Start reading with [Controller.Step]. [Settings.Check] defines valid settings, and [DivideAdmission] divides the admitted work. A
// Controller is not safe for concurrent use. Times are microseconds.
package degradation
