// Package mtqueue orders waiting calls: fair between teams, and earliest deadline first within a team.
package mtqueue
