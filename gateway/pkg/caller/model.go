package caller

import (
	"net/http"
	"net/url"

	"github.com/cespare/xxhash/v2"
	"github.com/gin-gonic/gin"

	"toucanhinge.example/gateway/pkg/online"
	"toucanhinge.example/gateway/pkg/resume"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

func (s *Server) chat(c *gin.Context) {
	s.model(c, resume.KindChat)
}

func (s *Server) completion(c *gin.Context) {
	s.model(c, resume.KindCompletion)
}

// model serves a call to a model, streamed or whole.
func (s *Server) model(c *gin.Context, kind resume.Kind) {
	e, r := s.enter(c)
	if r != nil {
		s.refuse(c, r)
		return
	}
	body, r := s.body(c)
	if r != nil {
		s.refuse(c, r)
		return
	}
	request, r := s.modelRequest(e, kind, body)
	if r != nil {
		s.refuse(c, r)
		return
	}
	request.Path = c.Request.URL.RequestURI()
	s.serve(c, e, request)
}

func (s *Server) modelRequest(e *entry, kind resume.Kind, body []byte) (*online.Request, *refusal) {
	found, r := parse(body)
	if r != nil {
		return nil, r
	}
	prompt := "messages"
	if kind == resume.KindCompletion {
		prompt = "prompt"
	}
	if r := found.check("model", prompt); r != nil {
		return nil, r
	}
	if kind == resume.KindChat {
		if r := found.checkMessages(); r != nil {
			return nil, r
		}
	}
	service, known := e.fleet.ServiceByModel(found.text("model"))
	if !known || service.GetKind() == toucanhingev1.ServiceKind_SERVICE_KIND_PLAIN {
		return nil, refuse(http.StatusNotFound, reasonUnknownModel, "there is no such model")
	}
	contract, r := e.contract(service.Name, false)
	if r != nil {
		return nil, r
	}
	request := &online.Request{
		ID: e.id, CallerID: e.caller, Team: e.team.Name, Service: service.Name, Method: http.MethodPost, Body: body,
		Headers:     []*toucanhingev1.Header{{Name: "Content-Type", Value: "application/json"}},
		Deadline:    e.deadline(service, s.config.Limits.DefaultDeadline),
		Idempotent:  e.idempotent == nil || *e.idempotent,
		Stream:      found.isTrue("stream"),
		Model:       true,
		DataCentres: contract.GetDataCentres(),
		Prefix:      s.prefixHash(service.Name, found[prompt]),
	}
	if request.Stream && request.Idempotent && resume.Resumable(found) {
		request.Text = resume.NewText(resume.Config{Kind: kind, MaxBytes: s.config.Limits.ResumeTextBytes})
	}
	return request, nil
}

// prefixHash names the beginning of the prompt, which engines cache.
func (s *Server) prefixHash(service string, prompt []byte) uint64 {
	size := s.config.PrefixBytes
	if size == 0 {
		return 0
	}
	d := xxhash.New()
	_, _ = d.WriteString(service)
	_, _ = d.Write(prompt[:min(size, len(prompt))])
	return max(d.Sum64(), 1)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models lists those that the team may call.
func (s *Server) models(c *gin.Context) {
	e, r := s.enter(c)
	if r != nil {
		s.refuse(c, r)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, service := range e.fleet.Services() {
		contract, found := e.fleet.Contract(e.team.Name, service.Name)
		if !found || !contract.GetOnline() || service.GetKind() == toucanhingev1.ServiceKind_SERVICE_KIND_PLAIN {
			continue
		}
		name := service.GetModel()
		if name == "" {
			name = service.Name
		}
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: service.Name})
	}
	c.JSON(http.StatusOK, list)
}

// plain serves a call to a plain service.
func (s *Server) plain(c *gin.Context) {
	e, r := s.enter(c)
	if r != nil {
		s.refuse(c, r)
		return
	}
	service, known := e.fleet.Service(c.Param("name"))
	if !known || service.GetKind() != toucanhingev1.ServiceKind_SERVICE_KIND_PLAIN {
		s.refuse(c, refuse(http.StatusNotFound, reasonUnknownService, "there is no such plain service"))
		return
	}
	contract, r := e.contract(service.Name, false)
	if r != nil {
		s.refuse(c, r)
		return
	}
	body, r := s.body(c)
	if r != nil {
		s.refuse(c, r)
		return
	}
	s.serve(c, e, &online.Request{
		ID: e.id, CallerID: e.caller, Team: e.team.Name, Service: service.Name,
		Method: c.Request.Method, Path: plainPath(c), Headers: forwarded(c.Request.Header), Body: body,
		Deadline:    e.deadline(service, s.config.Limits.DefaultDeadline),
		Idempotent:  idempotent(e, c.Request.Method),
		DataCentres: contract.GetDataCentres(),
	})
}

// idempotent goes by the caller's word, else by what the method promises: a POST
// that the caller says nothing of may not be repeated.
func idempotent(e *entry, method string) bool {
	if e.idempotent != nil {
		return *e.idempotent
	}
	return method != http.MethodPost && method != http.MethodPatch
}

// plainPath is what stands after the service's name, as the caller escaped it.
func plainPath(c *gin.Context) string {
	path := (&url.URL{Path: c.Param("path"), RawPath: rawPath(c)}).EscapedPath()
	if path == "" {
		path = "/"
	}
	if c.Request.URL.RawQuery != "" {
		path += "?" + c.Request.URL.RawQuery
	}
	return path
}

// rawPath cuts "/svc/NAME" from the escaped path; net/url ignores it when it
// doesn't fit the unescaped one.
func rawPath(c *gin.Context) string {
	escaped := c.Request.URL.EscapedPath()
	start := len("/svc/") + len(url.PathEscape(c.Param("name")))
	if start >= len(escaped) {
		return ""
	}
	return escaped[start:]
}
