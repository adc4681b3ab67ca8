// Package operator is the gRPC server for operators. Its interface is defined in
// api/operator.proto.
//
// # Usage
//
//	authenticator := operator.Authenticator{Token: token}
//	server := grpc.NewServer(grpc.UnaryInterceptor(authenticator.Intercept))
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

// System carries out the operators' calls; the daemon implements it.
type System interface {
	// Submit commits a change if the configuration has the expected version, and returns
	// the new version.
	Submit(ctx context.Context, expected uint64, change catalog.Change) (uint64, error)
	// Document returns the configuration in force.
	Document() catalog.Document
	// DataCentreOut reports whether a data centre accepts no new work.
	DataCentreOut(dataCentre string) bool
	// TakeOut creates an order that stops new work in a data centre. It returns the ID of the
	// order and whether the order is stored durably; if not, it is stored later.
	TakeOut(ctx context.Context, dataCentre string) (id string, durable bool)
	// BringIn cancels the known orders that took a data centre out.
	BringIn(ctx context.Context, dataCentre string) error
	// Status returns the state of every known daemon.
	Status(ctx context.Context) []Status
	// Explain returns the history of a request.
	Explain(ctx context.Context, id string) (history.Entry, error)
	// Order sends an order to a target, such as the action LoadModel with a model name as the
	// argument. It returns the outcome and the order's fencing number. That number increases
	// with every order to the target, so that the target can reject an order that arrives
	// after a newer one.
	Order(ctx context.Context, target, action, argument string) (fencing uint64, outcome string, err error)
}

// Status is the state of one daemon.
type Status struct {
	Host          string
	DataCentre    string
	Incarnation   string
	ConfigVersion uint64
	// Epoch is the epoch of the membership that the daemon uses.
	Epoch uint64
	// InFlight is the number of requests that the daemon is serving.
	InFlight int64
	// Reachable is true if the daemon answered the status call.
	Reachable bool
	Ready     bool
	Targets   []TargetStatus
}

// TargetStatus is the state of one target as known to one daemon.
type TargetStatus struct {
	Name string
	// Guardian is the host of the target's guardian.
	Guardian string
	Warm     bool
	Leaving  bool
	// InFlight is the number of the daemon's requests to the target.
	InFlight int
}

// Authenticator admits calls with the operators' bearer token. An empty Token admits every call.
type Authenticator struct {
	Token string
}

// Intercept checks the token of one call and converts its error to an RPC status.
func (a Authenticator) Intercept(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	if !a.authorized(ctx) {
		return nil, rpcError(problem.New(problem.Unauthenticated, "the call has no valid bearer token"))
	}
	reply, err := handler(ctx, req)
	if err != nil {
		return nil, rpcError(err)
	}
	return reply, nil
}

func (a Authenticator) authorized(ctx context.Context) bool {
	if a.Token == "" {
		return true
	}
	md, _ := metadata.FromIncomingContext(ctx)
	for _, value := range md.Get("authorization") {
		if subtle.ConstantTimeCompare([]byte(strings.TrimPrefix(value, "Bearer ")), []byte(a.Token)) == 1 {
			return true
		}
	}
	return false
}

// rpcError converts an error to an RPC status. Its message is the kind, a colon and the detail.
func rpcError(err error) error {
	return status.Error(problem.Of(err).Answer().RPCCode, string(problem.Of(err))+": "+problem.Detail(err))
}

// Server implements the Operator service.
type Server struct {
	operatorpb.UnimplementedOperatorServer
	System System
}

// Apply commits one configuration change.
func (s *Server) Apply(ctx context.Context, r *operatorpb.ApplyRequest) (*operatorpb.ApplyReply, error) {
	change := changeFromProto(r)
	version, err := s.System.Submit(ctx, r.ExpectedVersion, change)
	if err != nil {
		return nil, err
	}
	return &operatorpb.ApplyReply{Version: version, ChangeID: change.ID}, nil
}

// Describe returns the configuration in force.
func (s *Server) Describe(context.Context, *operatorpb.DescribeRequest) (*operatorpb.DescribeReply, error) {
	document := s.System.Document()
	reply := describeReply(document)
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
		return nil, problem.New(problem.Invalid, "the request has no data centre")
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

// Status returns the state of every known daemon.
func (s *Server) Status(ctx context.Context, _ *operatorpb.StatusRequest) (*operatorpb.StatusReply, error) {
	reply := &operatorpb.StatusReply{}
	for _, daemon := range s.System.Status(ctx) {
		reply.Daemons = append(reply.Daemons, statusToProto(daemon))
	}
	return reply, nil
}

// Explain returns the decisions for one request.
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
