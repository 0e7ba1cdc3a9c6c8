// The load pattern: a zone is evacuated, and the endpoints of the others must carry its load or are missing altogether.

package mtscheduler

// Evacuated means that all endpoints of the service are in evacuated zones.
const Evacuated = "evacuated"

// reasonWithoutEndpoint returns the reason for the rejection of a request of a service without a usable endpoint.
func (s *Scheduler) reasonWithoutEndpoint() string {
	reason := NoEndpoint
	for _, endpoint := range s.endpoints {
		switch {
		case endpoint.Draining:
		case !endpoint.Evacuated:
			return NoEndpoint
		default:
			reason = Evacuated
		}
	}
	return reason
}
