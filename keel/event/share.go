package event

import "github.com/sirupsen/logrus"

// TenantLimited is the event of tenants at their cap, beyond what they are owed or over their share.
const TenantLimited ID = 1150

var shareEvents = []Definition{
	{TenantLimited, "tenant_limited", logrus.WarnLevel, "in the last second jobs of the tenant waited for room under its cap, or came beyond the number a second that it is owed (beyond) or over its share of their pool (over_share), so that others are served first; used is what its runs need, unseen what workers that this leader hasn't heard may run of its tasks, share the highest used fraction of the cap", []string{"tenant", "weight", "cap_cpu", "cap_mem", "cap_acc", "used_cpu", "unseen_cpu", "share", "jobs", "capped", "beyond", "over_share"}},
}
