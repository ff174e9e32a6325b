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

func (s *Server) serveChat(c *gin.Context) {
	s.serveModel(c, resume.KindChat)
}

func (s *Server) serveCompletion(c *gin.Context) {
	s.serveModel(c, resume.KindCompletion)
}

// serveModel serves a request to a model, streamed or not.
func (s *Server) serveModel(c *gin.Context, kind resume.Kind) {
	info, r := s.checkHeaders(c)
	if r != nil {
		s.refuse(c, r)
		return
	}
	body, release, r := s.readBody(c)
	if r != nil {
		s.refuse(c, r)
		return
	}
	defer release()
	request, r := s.modelRequest(info, kind, body)
	if r != nil {
		s.refuse(c, r)
		return
	}
	request.Path = c.Request.URL.RequestURI()
	s.serve(c, info, request)
}

func (s *Server) modelRequest(info *requestInfo, kind resume.Kind, body []byte) (*online.Request, *refusal) {
	parsed, r := parseObject(body)
	if r != nil {
		return nil, r
	}
	promptField := "messages"
	if kind == resume.KindCompletion {
		promptField = "prompt"
	}
	if r := parsed.validate("model", promptField); r != nil {
		return nil, r
	}
	if kind == resume.KindChat {
		if r := parsed.validateMessages(); r != nil {
			return nil, r
		}
	}
	service, found := info.fleet.ServiceByModel(parsed.stringValue("model"))
	if !found || service.GetKind() == toucanhingev1.ServiceKind_SERVICE_KIND_PLAIN {
		return nil, newRefusal(http.StatusNotFound, reasonUnknownModel, "there is no such model")
	}
	contract, r := info.findContract(service.Name, false)
	if r != nil {
		return nil, r
	}
	request := &online.Request{
		ID: info.id, CallerID: info.callerID, Team: info.team.Name, Service: service.Name, Method: http.MethodPost, Body: body,
		Headers:     []*toucanhingev1.Header{{Name: "Content-Type", Value: "application/json"}},
		Deadline:    info.deadline(service, s.config.Limits.DefaultDeadline),
		Idempotent:  info.idempotent == nil || *info.idempotent,
		Stream:      parsed.isTrue("stream"),
		Model:       true,
		DataCentres: contract.GetDataCentres(),
		Prefix:      s.prefixHash(service.Name, parsed[promptField]),
	}
	if request.Stream && request.Idempotent && resume.Resumable(parsed) {
		request.Text = resume.NewText(resume.Config{Kind: kind, MaxBytes: s.config.Limits.ResumeTextBytes})
	}
	return request, nil
}

// prefixHash returns a hash of the first bytes of the prompt, or 0 if affinity is off. Engines cache prompt
// prefixes, so requests with the same prefix prefer the same endpoint.
func (s *Server) prefixHash(service string, prompt []byte) uint64 {
	size := s.config.PrefixBytes
	if size == 0 {
		return 0
	}
	hash := xxhash.New()
	_, _ = hash.WriteString(service)
	_, _ = hash.Write(prompt[:min(size, len(prompt))])
	return max(hash.Sum64(), 1)
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

// listModels lists the models that the team may use.
func (s *Server) listModels(c *gin.Context) {
	info, r := s.checkHeaders(c)
	if r != nil {
		s.refuse(c, r)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, service := range info.fleet.Services() {
		contract, found := info.fleet.Contract(info.team.Name, service.Name)
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

// servePlain serves a request to a plain service.
func (s *Server) servePlain(c *gin.Context) {
	info, r := s.checkHeaders(c)
	if r != nil {
		s.refuse(c, r)
		return
	}
	service, found := info.fleet.Service(c.Param("name"))
	if !found || service.GetKind() != toucanhingev1.ServiceKind_SERVICE_KIND_PLAIN {
		s.refuse(c, newRefusal(http.StatusNotFound, reasonUnknownService, "there is no such plain service"))
		return
	}
	contract, r := info.findContract(service.Name, false)
	if r != nil {
		s.refuse(c, r)
		return
	}
	body, release, r := s.readBody(c)
	if r != nil {
		s.refuse(c, r)
		return
	}
	defer release()
	s.serve(c, info, &online.Request{
		ID: info.id, CallerID: info.callerID, Team: info.team.Name, Service: service.Name,
		Method: c.Request.Method, Path: plainPath(c), Headers: forwardedHeaders(c.Request.Header), Body: body,
		Deadline:    info.deadline(service, s.config.Limits.DefaultDeadline),
		Idempotent:  isIdempotent(info, c.Request.Method),
		DataCentres: contract.GetDataCentres(),
	})
}

// isIdempotent reports whether the request may be run more than once. Without a declaration by the caller,
// all requests but POST and PATCH are idempotent.
func isIdempotent(info *requestInfo, method string) bool {
	if info.idempotent != nil {
		return *info.idempotent
	}
	return method != http.MethodPost && method != http.MethodPatch
}

// plainPath returns the path after the name of the service, with the escaping of the caller, and the query.
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

// rawPath removes "/svc/NAME" from the escaped path. net/url ignores the result if it doesn't match the
// unescaped path.
func rawPath(c *gin.Context) string {
	escaped := c.Request.URL.EscapedPath()
	start := len("/svc/") + len(url.PathEscape(c.Param("name")))
	if start >= len(escaped) {
		return ""
	}
	return escaped[start:]
}
