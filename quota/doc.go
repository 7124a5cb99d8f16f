// Package quota keeps a fleet within the request rates that endpoints name for
// it. An endpoint in need names, in its answers, the rate of requests that it
// takes from all members together: its quota.
//
// The member that owns the queue spends the quotas of all endpoints, each from a
// token bucket; the others ask it before they send. A member that hears of a quota
// is bound at once and tells the owner, which tells the others. There is no shared
// state: an owner that parts with some of the fleet spends only its share, and a
// new owner begins with empty buckets, so that two successive owners, or two at
// once, together stay close to the rate.
package quota
