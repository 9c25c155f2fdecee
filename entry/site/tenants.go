package site

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/queue"
	"samphirekeel.example/keel/tenant"
	"samphirekeel.example/platform"
)

// caller is what an entry knows of the sender of a request.
type caller struct {
	// access is which jobs the caller may see and cancel.
	access tenant.Access
	// tenant is the name of the tenant to which the jobs that the caller submits belong, empty for none.
	tenant string
	// key is the key by which the request was allowed; checked is false if the request needed none.
	key     tenant.Key
	checked bool
	// version is the version of the configuration that allowed the request.
	version uint64
}

// authorise returns the caller of a request for the queue. It fails with kind Unauthorized if the configuration in force
// doesn't allow the request, and with kind NotReady if that isn't known.
func (s *Entry) authorise(config checkedConfig, q *queue.Queue, header *fasthttp.RequestHeader) (caller, error) {
	if config.Tenants == nil {
		return caller{version: config.Version}, nil
	}
	key, sent := platform.CallerKey(header)
	var known *tenant.Tenant
	if sent {
		known = config.Tenants.ByKey(key)
	}
	c := caller{access: tenant.Access{Restricted: true}, key: key, version: config.Version}
	if known != nil {
		c.access.Tenant = known.Name
	}
	if q.Public {
		return c, nil
	}
	err := s.checkKey(config, key, sent, known)
	if err != nil {
		s.Log.Write(event.CallerRefused, event.Fields{
			"queue": q.Name, "tenant": c.access.Tenant, "key": keyName(key, sent), "kind": fault.As(err).Kind().String(), "version": config.Version,
		})
		return caller{tenant: c.access.Tenant}, err
	}
	c.checked, c.tenant = true, known.Name
	return c, nil
}

// checkKey fails unless the key belongs to a tenant of the configuration, which known is, and the configuration may be relied on.
func (s *Entry) checkKey(config checkedConfig, key tenant.Key, sent bool, known *tenant.Tenant) error {
	switch {
	case known == nil && !config.current:
		return fault.New(fault.NotReady, "key %s not known, and the configuration of this entry may be out of date", keyName(key, sent)).WithRetryAfter(retryAfter)
	case known == nil && !sent:
		return fault.New(fault.Unauthorized, "the request has no key, which this queue requires")
	case known == nil:
		return fault.New(fault.Unauthorized, "key %s isn't valid", keyName(key, sent))
	case s.keysUnchecked():
		return fault.New(fault.NotReady, "key %s may have been withdrawn, and this entry can't check that now", keyName(key, sent)).WithRetryAfter(retryAfter)
	}
	return nil
}

// keysUnchecked reports whether the configuration hasn't been checked for so long that no key may be relied on.
func (s *Entry) keysUnchecked() bool {
	limit := time.Duration(s.keyTime.Load())
	checkedAt := time.Duration(s.configCheckedAt.Load())
	return limit > 0 && (checkedAt == 0 || s.Now()-checkedAt >= limit)
}

// updateKeyTime sets how long keys are relied on after the last check of the configuration from the settings, 0 for ever.
func (s *Entry) updateKeyTime() {
	limit := time.Duration(0)
	if s.Settings.Bounds.RefuseUnchecked {
		limit = s.Settings.Bounds.RevokeTime
		if limit <= 0 {
			limit = maxConfigAge
		}
	}
	s.keyTime.Store(int64(limit))
}

// confirm fails with kind Unauthorized if a configuration that was applied since the request was allowed doesn't allow it any more.
func (s *Entry) confirm(c caller, queueName string) error {
	config := s.config.Load()
	if !c.checked || config.VersionOrZero() == c.version || config.Tenants == nil {
		return nil
	}
	q := config.QueueByName(queueName)
	known := config.Tenants.ByKey(c.key)
	if q != nil && q.Public || known != nil && known.Name == c.tenant {
		return nil
	}
	return fault.New(fault.Unauthorized, "key %s was withdrawn before the job was stored", c.key)
}

// keyName returns the name of a key in logs and responses.
func keyName(key tenant.Key, sent bool) string {
	if !sent {
		return "none"
	}
	return key.String()
}

// checkStoredTenant fails with kind NotExist if the store has no job with the ID, or one that the caller may not see. A caller who
// may see all jobs costs no read.
func (s *Entry) checkStoredTenant(ctx context.Context, call string, access tenant.Access, id string) error {
	foreign, err := s.isForeign(ctx, access, id)
	if foreign {
		return s.foreignJob(call, access, id)
	}
	return err
}

// isForeign reports whether the store has a job with the ID that the caller may not see; it fails with kind NotExist if it has none.
func (s *Entry) isForeign(ctx context.Context, access tenant.Access, id string) (bool, error) {
	if !access.Restricted {
		return false, nil
	}
	owner, err := s.jobs.Tenant(ctx, id)
	return err == nil && !access.Allows(owner), err
}

// foreignJob logs a call for the job of another tenant and returns the error of a job that doesn't exist.
func (s *Entry) foreignJob(call string, access tenant.Access, id string) error {
	s.Log.Write(event.ForeignJob, event.Fields{"job": id, "call": call, "tenant": access.Tenant})
	return fault.New(fault.NotExist, "job %s", id)
}
