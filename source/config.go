package source

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"github.com/ragwortyard/ragwortyard/config"
)

// ConfigReader reads values from the configuration service.
type ConfigReader struct {
	endpoint endpoint
}

// NewConfigReader returns a reader for the service at a base URL such as
// "http://10.0.0.5:8500". If client is nil, NewClient() is used.
func NewConfigReader(base string, client *http.Client) *ConfigReader {
	return &ConfigReader{newEndpoint(base, client, config.MaxValueSize)}
}

func newEndpoint(base string, client *http.Client, limit int64) endpoint {
	if client == nil {
		client = NewClient()
	}
	return endpoint{client, base, limit}
}

// Value returns one value of at most config.MaxValueSize bytes. If the value does not
// exist, it returns a StatusError with status 404.
func (r *ConfigReader) Value(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, ReadTimeout)
	defer cancel()
	return r.read(ctx, "/v1/values/"+url.PathEscape(name))
}

func (r *ConfigReader) read(ctx context.Context, path string) ([]byte, error) {
	var data []byte
	_, err := r.endpoint.getDecoded(ctx, path, nil, bytesDecoder{}, &data)
	if err != nil {
		return nil, err
	}
	return data, nil
}

// bytesDecoder returns the body of an answer unchanged, since the digests in the manifest
// are computed over the exact bytes of a value.
type bytesDecoder struct{}

// Decode implements sling.ResponseDecoder for *[]byte.
func (bytesDecoder) Decode(response *http.Response, v any) error {
	target, ok := v.(*[]byte)
	if !ok {
		return eris.Errorf("cannot decode bytes into %T", v)
	}
	data, err := io.ReadAll(response.Body)
	*target = data
	return err
}
