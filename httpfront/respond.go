package httpfront

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// copyBufferBytes is the size of the buffer that each streamed answer uses. 32 KiB
// matches the buffers of net/http.
const copyBufferBytes = 32 << 10

// progressTimeout is how long a caller may read nothing of an answer, or send nothing of
// a body, before the transfer is aborted. Without it, a stalled caller could hold a slot
// forever.
const progressTimeout = 10 * time.Second

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Code    uint16 `json:"code"`
	Name    string `json:"name"`
	Outcome string `json:"outcome"`
	Detail  string `json:"detail"`
}

// Respond writes a result and calls done with its completion. If the answer fails after
// its header was sent, it calls done and then panics with http.ErrAbortHandler, so that
// the connection or stream is reset and the caller does not mistake the truncated answer
// for a complete one.
func Respond(w http.ResponseWriter, result *pipeline.Result, done func(pipeline.Completion)) {
	if result.Body == nil && result.Code != pipeline.CodeOK {
		writeRefusal(w, result)
		done(pipeline.Completion{Outcome: result.Outcome, Code: result.Code, Status: result.Status})
		return
	}
	copyHeader(w.Header(), result)
	w.WriteHeader(result.Status)
	n, err := StreamBody(w, result)
	completion := pipeline.Completion{Outcome: result.Outcome, Code: result.Code, Status: result.Status, Bytes: n}
	if err != nil {
		completion.Outcome = pipeline.Unknown
		completion.Code = StreamErrorCode(err)
		done(completion)
		panic(http.ErrAbortHandler)
	}
	CopyTrailer(w.Header(), result)
	done(completion)
}

// writeRefusal writes a refusal with a JSON body. Retry-After is rounded up to seconds.
func writeRefusal(w http.ResponseWriter, result *pipeline.Result) {
	body, _ := json.Marshal(refusalBody{
		Code:    uint16(result.Code),
		Name:    result.Code.Info().Name,
		Outcome: result.Outcome.String(),
		Detail:  result.Detail,
	})
	h := w.Header()
	for name, values := range result.Header {
		h[name] = values
	}
	setOutcome(h, result)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if result.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64((result.RetryAfter+time.Second-1)/time.Second), 10))
	}
	w.WriteHeader(result.Status)
	_, _ = w.Write(body)
}

func setOutcome(h http.Header, result *pipeline.Result) {
	h.Set(HeaderOutcome, result.Outcome.String())
	h.Set(HeaderCode, strconv.Itoa(int(result.Code)))
}

func copyHeader(dst http.Header, result *pipeline.Result) {
	for name, values := range result.Header {
		dst[name] = values
	}
	for _, name := range result.TrailerNames {
		dst.Add("Trailer", name)
	}
	setOutcome(dst, result)
}

// CopyTrailer sets the trailer fields of a result. It must be called after the body was
// streamed.
func CopyTrailer(dst http.Header, result *pipeline.Result) {
	if result.Trailer == nil {
		return
	}
	for name, values := range result.Trailer() {
		dst[http.TrailerPrefix+name] = values
	}
}

// errCallerWrite is returned by StreamBody if writing to the caller fails.
var errCallerWrite = errors.New("cannot write answer to the caller")

// StreamErrorCode returns the result code for an error of StreamBody.
func StreamErrorCode(err error) pipeline.Code {
	if errors.Is(err, errCallerWrite) {
		return pipeline.CodeCanceled
	}
	return pipeline.CodeAnswerCut
}

// StreamBody copies the body of a result to w through a fixed-size buffer and returns the
// number of bytes written. If the length is unknown, it flushes after each read, so that a
// streamed answer is not delayed.
func StreamBody(w http.ResponseWriter, result *pipeline.Result) (int64, error) {
	if result.Body == nil {
		return 0, nil
	}
	defer result.Body.Close()
	buf := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buf)
	controller := http.NewResponseController(w)
	flush := result.ContentLength < 0
	var total int64
	for {
		n, err := result.Body.Read(buf[:])
		if n > 0 {
			if writeErr := writeChunk(w, controller, buf[:n], flush); writeErr != nil {
				return total, writeErr
			}
			total += int64(n)
		}
		if err == io.EOF {
			return total, checkBodyLength(total, result)
		}
		if err != nil {
			return total, err
		}
	}
}

// checkBodyLength returns io.ErrUnexpectedEOF if the body ended before its declared
// length.
func checkBodyLength(total int64, result *pipeline.Result) error {
	if result.ContentLength > 0 && total < result.ContentLength {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// writeChunk writes and optionally flushes a chunk within progressTimeout.
func writeChunk(w io.Writer, controller *http.ResponseController, chunk []byte, flush bool) error {
	_ = controller.SetWriteDeadline(time.Now().Add(progressTimeout))
	if _, err := w.Write(chunk); err != nil {
		return errCallerWrite
	}
	if flush {
		if err := controller.Flush(); err != nil {
			return errCallerWrite
		}
	}
	return nil
}
