package mtgateway

import (
	"github.com/sirupsen/logrus"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/core/mtresponse"
	"github.com/mangotack/mangotack/internal/core/mtscheduler"
)

// logRequestLimit logs a limit that an endpoint names for the first time, or with another value than before.
func (g *Gateway) logRequestLimit(target *mtscheduler.Endpoint, statement mtresponse.Metadata) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if statement.HasRequestLimit && g.loggedLimits[target.ID] != statement.RequestLimit {
		g.loggedLimits[target.ID] = statement.RequestLimit
		mtevent.EndpointLimited.Log(g.logger, logrus.Fields{
			"endpoint":  target.ID,
			"perSecond": statement.RequestLimit,
		})
	}
	if statement.InvalidRequestLimit != "" && !g.loggedInvalidLimits[target.ID] {
		g.loggedInvalidLimits[target.ID] = true
		mtevent.RequestLimitUnparsable.Log(g.logger, logrus.Fields{
			"endpoint": target.ID,
			"text":     truncateText(statement.InvalidRequestLimit),
		})
	}
}
