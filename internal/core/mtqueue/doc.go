// Package mtqueue holds waiting calls: fair between teams, the earliest deadline first within a team.
package mtqueue
