package service

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against wrong execution counts: a booking whose response is lost was executed,
// and one that is rejected with not_run was not.
func TestDroppedResponsesCountAsExecutions(t *testing.T) {
	g := NewWithT(t)
	s := New(Options{})
	server := httptest.NewServer(s)
	defer server.Close()
	book := func() (*http.Response, error) {
		return http.Post(server.URL+"/bookings", "application/json", strings.NewReader(`{"booking_id":"b1"}`))
	}
	response, err := book()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Body.Close()).To(Succeed())
	s.SetFaults(Faults{DropAtByte: -1})
	_, err = book()
	g.Expect(err).To(HaveOccurred())
	s.SetFaults(Faults{NotRun: true})
	response, err = book()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Body.Close()).To(Succeed())
	g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(s.Executions().ForBooking("b1")).To(Equal(2))
}
