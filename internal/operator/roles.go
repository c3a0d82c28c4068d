package operator

import "github.com/mimosawharf/mimosawharf/internal/credential"

// Roles returns the role that each RPC needs, by name: viewers read, operators change VMs and waves,
// admins change the configuration.
func Roles() map[string]credential.Role {
	return map[string]credential.Role{
		"GetConfiguration":   credential.RoleViewer,
		"GetStatus":          credential.RoleViewer,
		"ListAudit":          credential.RoleViewer,
		"ListVMs":            credential.RoleViewer,
		"ListWaves":          credential.RoleViewer,
		"ChangeVM":           credential.RoleOperator,
		"ControlWave":        credential.RoleOperator,
		"CreateWave":         credential.RoleOperator,
		"ApplyConfiguration": credential.RoleAdmin,
	}
}

// DryRuns returns the RPCs whose dry runs write nothing, so that viewers may request them.
func DryRuns() map[string]bool {
	return map[string]bool{"CreateWave": true, "ApplyConfiguration": true}
}
