package faultsoak

import (
	"bytes"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
)

// Sizes of uploads in bytes.
const (
	minUpload = 60_000
	maxUpload = 360_000
)

// uploadBody returns the body of the upload with an id. No part of it equals that of another upload.
func uploadBody(id string) []byte {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id)
	rnd := rand.New(rand.NewPCG(h.Sum64(), 2))
	body := make([]byte, minUpload+rnd.IntN(maxUpload-minUpload+1))
	for i := 0; i+8 <= len(body); i += 8 {
		v := rnd.Uint64()
		for k := range 8 {
			body[i+k] = byte(v >> (8 * k))
		}
	}
	return body
}

// readUpload reads the body of an upload at its target and records whether it is whole. A body that ends with an error counts as cut short,
// which the target can see.
func (t *target) readUpload(r *http.Request, id string) error {
	got, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	t.recorder.RecordUpload(id, bytes.Equal(got, uploadBody(id)), len(got))
	return nil
}
