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

// copyBufferSize is the memory that one streamed answer holds; 32 KiB matches
// the buffers of net/http.
const copyBufferSize = 32 << 10

// progressTimeout ends an answer whose caller reads nothing for so long, so that
// a slow caller cannot hold a slot for ever.
const progressTimeout = 10 * time.Second

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// refusalBody is the JSON document that a refused caller receives.
type refusalBody struct {
	Code    uint16 `json:"code"`
	Name    string `json:"name"`
	Outcome string `json:"outcome"`
	Detail  string `json:"detail"`
}

// Respond writes a result and returns how it ended. When the answer is cut
// after its header was sent, it panics with http.ErrAbortHandler after calling
// done, so that the caller sees the connection or stream reset instead of a
// short answer that looks whole.
func Respond(w http.ResponseWriter, result *pipeline.Result, done func(pipeline.Completion)) {
	if result.Body == nil && result.Code != pipeline.CodeOK {
		writeRefusal(w, result)
		done(pipeline.Completion{Outcome: result.Outcome, Code: result.Code, Status: result.Status})
		return
	}
	copyHeader(w.Header(), result)
	w.WriteHeader(result.Status)
	n, err := Stream(w, result)
	completion := pipeline.Completion{Outcome: result.Outcome, Code: result.Code, Status: result.Status, Bytes: n}
	if err != nil {
		completion.Outcome = pipeline.Unknown
		completion.Code = CutCode(err)
		done(completion)
		panic(http.ErrAbortHandler)
	}
	CopyTrailer(w.Header(), result)
	done(completion)
}

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

// CopyTrailer writes the trailer fields of a result whose body has been streamed.
func CopyTrailer(dst http.Header, result *pipeline.Result) {
	if result.Trailer == nil {
		return
	}
	for name, values := range result.Trailer() {
		dst[http.TrailerPrefix+name] = values
	}
}

// errCaller marks an error of the caller's connection.
var errCaller = errors.New("caller stopped reading")

// CutCode returns the result code for an answer that Stream could not complete.
func CutCode(err error) pipeline.Code {
	if errors.Is(err, errCaller) {
		return pipeline.CodeCanceled
	}
	return pipeline.CodeAnswerCut
}

// Stream copies the body with bounded memory. It flushes after each read
// of an answer of unknown length, so that a streamed answer is not held back.
func Stream(w http.ResponseWriter, result *pipeline.Result) (int64, error) {
	if result.Body == nil {
		return 0, nil
	}
	defer result.Body.Close()
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	control := http.NewResponseController(w)
	flush := result.ContentLength < 0
	var total int64
	for {
		n, err := result.Body.Read(buf[:])
		if n > 0 {
			if werr := writeChunk(w, control, buf[:n], flush); werr != nil {
				return total, werr
			}
			total += int64(n)
		}
		if err == io.EOF {
			return total, shortBody(total, result)
		}
		if err != nil {
			return total, err
		}
	}
}

// shortBody reports an answer that ended before its declared length.
func shortBody(total int64, result *pipeline.Result) error {
	if result.ContentLength > 0 && total < result.ContentLength {
		return io.ErrUnexpectedEOF
	}
	return nil
}

func writeChunk(w io.Writer, control *http.ResponseController, chunk []byte, flush bool) error {
	_ = control.SetWriteDeadline(time.Now().Add(progressTimeout))
	if _, err := w.Write(chunk); err != nil {
		return errCaller
	}
	if flush {
		if err := control.Flush(); err != nil {
			return errCaller
		}
	}
	return nil
}
