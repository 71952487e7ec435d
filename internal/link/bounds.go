package link

import (
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/ingress"
	"github.com/pollenford/pollenford/internal/jobs"
)

// maxWaitingBytes bounds the messages of an entry that wait to be sent: what the thinnest link carries in 5 s. Clients wait 3 s, so
// that more could not be answered in time there.
const maxWaitingBytes = 5 * slowestLink

// Rejections of requests that were not handed over.
var (
	fullLinkRejection = &jobs.Rejection{Reason: "the connection to the owner is full", RetryAfter: time.Second}
	noMemoryRejection = &jobs.Rejection{Reason: "the owner has no memory for the request now", RetryAfter: time.Second}
)

// receive reads a request into charged memory. A request that there is no memory to decode is marked as refused.
func (s *Server) receive(reader io.Reader, address string, closeConn func()) (request, *ingress.Message, error) {
	message := s.Ingress.Message(address, closeConn)
	req, err := readRequest(message, reader)
	if err != nil {
		message.Release()
	}
	return req, message, err
}

func readRequest(message *ingress.Message, reader io.Reader) (req request, err error) {
	data, err := message.ReadAll(reader)
	if err == nil {
		err = message.ChargeDecoding(len(data))
	}
	switch {
	case errors.Is(err, ingress.ErrFull):
		req.refused, req.TimeoutMS = true, callTimeout.Milliseconds()
		req.ID, err = requestID(data)
		return req, err
	case err != nil:
		return req, errors.Trace(err)
	}
	return req, errors.Annotate(cbor.Unmarshal(data, &req), "malformed")
}

// requestID returns the ID of an encoded request from its beginning. The ID is the first field.
func requestID(data []byte) (id uint64, err error) {
	const firstKey = 1
	if len(data) < 3 || data[0]>>5 != 5 || data[1] != firstKey { // 5 is the major type of a map
		return 0, errors.NotValidf("beginning of a request")
	}
	_, err = cbor.UnmarshalFirst(data[2:], &id)
	return id, errors.Annotate(err, "malformed")
}
