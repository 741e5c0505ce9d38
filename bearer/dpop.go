package bearer

import (
	"crypto"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"hash/fnv"
	"io"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/go-jose/go-jose/v4"

	"dunespoke/internal/oauth/replay"
)

// Limits on DPoP proofs (RFC 9449).
const (
	maxProofBytes = 8 << 10          // size of one proof
	proofLifetime = 60 * time.Second // after its "iat"
)

var proofAlgorithms = []jose.SignatureAlgorithm{jose.ES256, jose.ES384, jose.ES512, jose.PS256, jose.PS384,
	jose.PS512, jose.RS256, jose.EdDSA}

// DPoPAlgorithms returns the names of the signature algorithms that are accepted for proofs.
func DPoPAlgorithms() []string {
	names := make([]string, len(proofAlgorithms))
	for i, a := range proofAlgorithms {
		names[i] = string(a)
	}
	return names
}

// Reasons for rejecting a proof. Clients see these texts.
var (
	errProofCount     = errors.New("want one DPoP proof")
	errProofMalformed = errors.New("the DPoP proof is malformed, or its algorithm is not taken")
	errProofKey       = errors.New("the DPoP proof is of another key than the token")
	errProofRequest   = errors.New("the DPoP proof is for another request or token")
	errProofIssuedAt  = errors.New("the DPoP proof is not of this time")
	errProofReplayed  = errors.New("the DPoP proof was shown before")
	errProofCapacity  = errors.New("too many DPoP proofs are still valid")
)

// Memory records proofs until they expire, to detect replays. Its size is bounded. It is safe for concurrent
// use.
type Memory struct {
	mu     sync.Mutex
	shards []*replay.Memory
}

// memoryShards is the number of shards of a Memory. The owner of a key who floods the memory fills only the
// shard of that key, which takes capacity from about one in memoryShards of the other keys.
const memoryShards = 256

// NewMemory returns a Memory for at most maxProofs unexpired proofs, but at least one per shard.
func NewMemory(maxProofs int) *Memory {
	m := &Memory{shards: make([]*replay.Memory, memoryShards)}
	for i := range m.shards {
		m.shards[i] = replay.New(max(1, maxProofs/memoryShards))
	}
	return m
}

// record stores the id of a proof by key until expires, and reports whether it was seen before or did not
// fit.
func (m *Memory) record(now time.Duration, key, id string, expires time.Duration) replay.Verdict {
	h := fnv.New32a()
	io.WriteString(h, key)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shards[h.Sum32()%memoryShards].Show(now, key+"\x00"+id, expires)
}

// checkProof validates the proof of a request whose token is bound to the key with the given thumbprint (RFC
// 9449, 4.3 and 7.1). It returns nil if the proof is valid and was not used before.
func checkProof(now time.Duration, s Shown, key string, skew time.Duration, m *Memory) error {
	if len(s.Proofs) != 1 || len(s.Proofs[0]) > maxProofBytes || m == nil {
		return errProofCount
	}
	proof, err := jose.ParseSignedCompact(s.Proofs[0], proofAlgorithms)
	if err != nil {
		return errProofMalformed
	}
	head := proof.Signatures[0].Protected
	if kind, _ := head.ExtraHeaders[jose.HeaderType].(string); kind != "dpop+jwt" || head.JSONWebKey == nil ||
		!head.JSONWebKey.Valid() || !head.JSONWebKey.IsPublic() {
		return errProofMalformed
	}
	thumbprint, err := head.JSONWebKey.Thumbprint(crypto.SHA256)
	if err != nil || base64.RawURLEncoding.EncodeToString(thumbprint) != key {
		return errProofKey
	}
	payload, err := proof.Verify(head.JSONWebKey)
	if err != nil {
		return errProofMalformed
	}
	var claims struct {
		ID     string   `json:"jti"`
		Method string   `json:"htm"`
		URL    string   `json:"htu"`
		Issued *float64 `json:"iat"`
		Hash   string   `json:"ath"`
	}
	if json.Unmarshal(payload, &claims) != nil || claims.ID == "" || claims.Issued == nil {
		return errProofMalformed
	}
	sum := sha256.Sum256([]byte(s.Token))
	if claims.Method != s.Method || !sameURL(claims.URL, s.URL) ||
		claims.Hash != base64.RawURLEncoding.EncodeToString(sum[:]) {
		return errProofRequest
	}
	issued := time.Duration(*claims.Issued * float64(time.Second))
	if *claims.Issued < 0 || *claims.Issued > 9e9 || issued > now+skew || now > issued+proofLifetime+skew {
		return errProofIssuedAt
	}
	switch m.record(now, key, claims.ID, issued+proofLifetime+skew+1) {
	case replay.Seen:
		return errProofReplayed
	case replay.Full:
		return errProofCapacity
	}
	return nil
}

// sameURL reports whether two URLs are equal without query and fragment. It applies those normalizations of
// RFC 3986, 6.2.2 and 6.2.3 in which clients are likely to differ: the case of scheme and host, the default
// port of the scheme, an empty path.
func sameURL(a, b string) bool {
	x, ok1 := normalizeURL(a)
	y, ok2 := normalizeURL(b)
	return ok1 && ok2 && x == y
}

// normalizeURL returns scheme, host and path of an absolute HTTP or HTTPS URL, and false for any other text.
func normalizeURL(text string) (string, bool) {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" {
		return "", false
	}
	scheme, host, path := strings.ToLower(u.Scheme), strings.ToLower(u.Host), u.EscapedPath()
	switch scheme {
	case "https":
		host = strings.TrimSuffix(host, ":443")
	case "http":
		host = strings.TrimSuffix(host, ":80")
	default:
		return "", false
	}
	if path == "" {
		path = "/"
	}
	return scheme + "://" + host + path, true
}
