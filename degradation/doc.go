// Package degradation decides the named levels of reduced service: which one a zone and the fleet are at, why, what would end
// it, and how a level divides what the admission lets in among the request kinds. It is pure: time and figures are
// handed in.
//
// Levels stand in the order of severity above the usual service, which is level 0. A Machine has one state for the fleet and
// one for each zone; a gateway is at the severer of its zone's and the fleet's. A level is entered when one of its reasons has
// been met for as long as it says, at once and over any levels between; it is left for the next lower one when all
// its reasons have been under their lower thresholds for as long, which doubles each time that it is entered again soon.
// Operators can force, forbid and hold levels until a time.
package degradation
