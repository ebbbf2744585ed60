package cataloguer

import (
	"maps"
	"slices"

	"cardamompulley/fleet/model"
)

// Priorities returns the priorities that requests of a service can have, in ascending order.
func (c *Configuration) Priorities(id model.ServiceID) []int {
	return c.priorities[id]
}

// findPriorities returns the priorities that requests of each service can have: those of its routes and of the client accounts that
// may use them.
func (c *Configuration) findPriorities(routes []Route) map[model.ServiceID][]int {
	ofAccounts, hasPlainAccount := c.accountPriorities()
	byService := map[model.ServiceID]map[int]bool{}
	for i := range routes {
		for _, s := range routes[i].TrafficSplit {
			if byService[s.Service] == nil {
				byService[s.Service] = map[int]bool{}
			}
			if !c.requiresKey || routes[i].IsPublic || hasPlainAccount {
				byService[s.Service][routes[i].Priority] = true
			}
			if c.requiresKey && !routes[i].IsPublic {
				maps.Copy(byService[s.Service], ofAccounts)
			}
		}
	}
	priorities := make(map[model.ServiceID][]int, len(byService))
	for id, numbers := range byService {
		priorities[id] = slices.Sorted(maps.Keys(numbers))
	}

	return priorities
}

// accountPriorities returns the priorities of the client accounts, and whether an account has none, so that those of the routes hold.
func (c *Configuration) accountPriorities() (priorities map[int]bool, hasPlainAccount bool) {
	priorities = map[int]bool{}
	for _, a := range c.accountsByKey {
		if a.HasPriority {
			priorities[a.Priority] = true
		} else {
			hasPlainAccount = true
		}
	}

	return priorities, hasPlainAccount
}
