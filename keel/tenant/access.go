package tenant

// Access is which jobs a caller may see and cancel.
type Access struct {
	// Restricted limits the caller to the jobs of Tenant and to those without a tenant.
	Restricted bool   `json:"restricted,omitempty"`
	Tenant     string `json:"tenant,omitempty"`
}

// Allows reports whether the caller may see and cancel a job of the named tenant, empty for a job without one.
func (a Access) Allows(tenant string) bool {
	return !a.Restricted || tenant == "" || tenant == a.Tenant
}
