// Package endpoint implements fake endpoints of partners, which can be stopped and frozen to simulate failures.
//
// A Set runs the endpoints and counts the runs of each ticket. Its control listener returns the counts (GET /audit) and
// stops, starts, freezes and resumes single endpoints (POST /power).
package endpoint
