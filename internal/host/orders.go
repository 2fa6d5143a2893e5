package host

import (
	"context"

	"github.com/sequoiaroad/sequoiaroad/internal/admin"
	"github.com/sequoiaroad/sequoiaroad/internal/orders"
)

// orderAdapter implements admin.OrderExecutor with orders.Service.
type orderAdapter struct{ service *orders.Service }

// Execute implements admin.OrderExecutor.
func (a *orderAdapter) Execute(ctx context.Context, r admin.OrderRequest) (admin.OrderResult, error) {
	result, err := a.service.Execute(ctx, orders.Order{
		TargetID: r.TargetID, Kind: orders.Kind(r.Kind), Model: r.Model,
		WeightsVersion: r.Version, Adapter: r.Adapter, Role: r.Role,
	})
	return admin.OrderResult{TargetID: r.TargetID, FencingToken: result.FencingToken}, err
}
