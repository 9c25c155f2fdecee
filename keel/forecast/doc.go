// Package forecast estimates the capacity that pools will need, from the times at which their jobs arrived.
//
// Rate gives the present rate of arriving work since its last change. Peaks learns which rises of the rate come back, and
// when; it knows no period until it has seen one repeatedly. Want is the one function of demand seen, demand expected, time
// to move and what waits that gives the capacity a pool wants now. The package uses no clock and no network.
package forecast
