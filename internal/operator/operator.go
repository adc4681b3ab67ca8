// Package operator is the RPC interface to operators, generated from api/operator.proto.
//
// # Usage
//
//	guard := operator.Guard{Token: token}
//	server := grpc.NewServer(grpc.UnaryInterceptor(guard.Intercept))
//	operatorpb.RegisterOperatorServer(server, &operator.Server{System: daemon})
package operator

import (
	"context"
	"crypto/subtle"
	"sort"
	"strings"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"github.com/sequoiapick/sequoiapick/internal/catalog"
	"github.com/sequoiapick/sequoiapick/internal/history"
	operatorpb "github.com/sequoiapick/sequoiapick/pkg/operator"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// System is what operators drive.
type System interface {
	Submit(ctx context.Context, expected uint64, change catalog.Change) (uint64, error)
	Document() catalog.Document
	DataCentreOut(dataCentre string) bool
	TakeOut(ctx context.Context, dataCentre string) (id string, durable bool)
	BringIn(ctx context.Context, dataCentre string) error
	Status(ctx context.Context) []Status
	Explain(ctx context.Context, id string) (history.Entry, error)
	Order(ctx context.Context, target, action, argument string) (fencing uint64, outcome string, err error)
}

// Status is the state of one daemon.
type Status struct {
	Host          string
	DataCentre    string
	Incarnation   string
	ConfigVersion uint64
	Epoch         uint64
	InFlight      int64
	Reachable     bool
	Ready         bool
	Targets       []TargetStatus
}

// TargetStatus is what one daemon knows of one target.
type TargetStatus struct {
	Name     string
	Guardian string
	Warm     bool
	Leaving  bool
	InFlight int
}

// Authenticator lets operators in by their bearer token; an empty token lets everyone in.
type Authenticator struct {
	Token string
}

// Intercept checks the token of one call and turns its error into an RPC status.
func (g Authenticator) Intercept(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	if !g.allows(ctx) {
		return nil, rpcError(problem.New(problem.Unauthenticated, "a valid bearer token is needed"))
	}
	reply, err := handler(ctx, req)
	if err != nil {
		return nil, rpcError(err)
	}
	return reply, nil
}

func (g Authenticator) allows(ctx context.Context) bool {
	if g.Token == "" {
		return true
	}
	md, _ := metadata.FromIncomingContext(ctx)
	for _, value := range md.Get("authorization") {
		if subtle.ConstantTimeCompare([]byte(strings.TrimPrefix(value, "Bearer ")), []byte(g.Token)) == 1 {
			return true
		}
	}
	return false
}

func rpcError(err error) error {
	return status.Error(problem.Of(err).Answer().RPCCode, string(problem.Of(err))+": "+problem.Detail(err))
}

// Server answers operators' calls.
type Server struct {
	operatorpb.UnimplementedOperatorServer
	System System
}

// Apply commits one configuration change.
func (s *Server) Apply(ctx context.Context, r *operatorpb.ApplyRequest) (*operatorpb.ApplyReply, error) {
	change := changeOf(r)
	version, err := s.System.Submit(ctx, r.ExpectedVersion, change)
	if err != nil {
		return nil, err
	}
	return &operatorpb.ApplyReply{Version: version, ChangeID: change.ID}, nil
}

// Describe returns the configuration in force.
func (s *Server) Describe(context.Context, *operatorpb.DescribeRequest) (*operatorpb.DescribeReply, error) {
	document := s.System.Document()
	reply := describe(document)
	centres := map[string]bool{}
	for _, t := range document.Targets {
		centres[t.DataCentre] = true
	}
	for name := range centres {
		if s.System.DataCentreOut(name) {
			reply.DataCentresOut = append(reply.DataCentresOut, name)
		}
	}
	sort.Strings(reply.DataCentresOut)
	return reply, nil
}

// TakeOut stops new work in a data centre.
func (s *Server) TakeOut(ctx context.Context, r *operatorpb.TakeOutRequest) (*operatorpb.TakeOutReply, error) {
	if r.DataCentre == "" {
		return nil, problem.New(problem.Invalid, "data centre without a name")
	}
	id, durable := s.System.TakeOut(ctx, r.DataCentre)
	return &operatorpb.TakeOutReply{OrderID: id, Durable: durable}, nil
}

// BringIn cancels the known orders that took a data centre out.
func (s *Server) BringIn(ctx context.Context, r *operatorpb.BringInRequest) (*operatorpb.BringInReply, error) {
	if err := s.System.BringIn(ctx, r.DataCentre); err != nil {
		return nil, err
	}
	return &operatorpb.BringInReply{Version: s.System.Document().Version}, nil
}

// Status reports every known daemon.
func (s *Server) Status(ctx context.Context, _ *operatorpb.StatusRequest) (*operatorpb.StatusReply, error) {
	reply := &operatorpb.StatusReply{}
	for _, one := range s.System.Status(ctx) {
		reply.Daemons = append(reply.Daemons, statusMessage(one))
	}
	return reply, nil
}

// Explain returns the decisions taken for one request.
func (s *Server) Explain(ctx context.Context, r *operatorpb.ExplainRequest) (*operatorpb.ExplainReply, error) {
	entry, err := s.System.Explain(ctx, r.RequestID)
	if err != nil {
		return nil, err
	}
	reply := &operatorpb.ExplainReply{RequestID: r.RequestID}
	for _, decision := range entry.Decisions {
		reply.Decisions = append(reply.Decisions, &operatorpb.Decision{
			AtUnixMicros: decision.At.UnixMicro(),
			Stage:        decision.Stage,
			Action:       decision.Action,
			Target:       decision.Target,
			Reason:       decision.Reason,
			Candidates:   decision.Candidates,
			CostMicros:   decision.CostMicros,
		})
	}
	return reply, nil
}

// Order sends an order to a target.
func (s *Server) Order(ctx context.Context, r *operatorpb.OrderRequest) (*operatorpb.OrderReply, error) {
	fencing, outcome, err := s.System.Order(ctx, r.Target, r.Action, r.Argument)
	if err != nil {
		return nil, err
	}
	return &operatorpb.OrderReply{Fencing: fencing, Outcome: outcome}, nil
}
