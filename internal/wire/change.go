package wire

import (
	"slices"

	"github.com/mimosawharf/mimosawharf/internal/configuration"
	configv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/config/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// FromChange converts a change of the configuration from its message.
func FromChange(m *configv1.Change) configuration.Change {
	switch v := m.GetItem().(type) {
	case *configv1.Change_PutPool:
		p := FromPool(v.PutPool)
		return configuration.Change{PutPool: &p}
	case *configv1.Change_PutService:
		s := FromService(v.PutService)
		return configuration.Change{PutService: &s}
	case *configv1.Change_PutAccount:
		a := FromAccount(v.PutAccount)
		return configuration.Change{PutAccount: &a}
	case *configv1.Change_DeletePool:
		return configuration.Change{DeletePool: fleet.PoolID(v.DeletePool)}
	case *configv1.Change_DeleteService:
		return configuration.Change{DeleteService: fleet.ServiceID(v.DeleteService)}
	case *configv1.Change_DeleteAccount:
		return configuration.Change{DeleteAccount: fleet.ClientAccountID(v.DeleteAccount)}
	default:
		return configuration.Change{}
	}
}

// SortedVMs returns the VMs of a view by id.
func SortedVMs(view *fleet.View) []fleet.VM {
	var list []fleet.VM
	for _, id := range sortedKeys(view.VMs) {
		list = append(list, view.VMs[id])
	}
	return slices.Clip(list)
}
