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

// Bounds on proofs (RFC 9449).
const (
	proofMost = 8 << 10          // bytes of one
	proofLife = 60 * time.Second // after its iat
)

var proofAlgorithms = []jose.SignatureAlgorithm{jose.ES256, jose.ES384, jose.ES512, jose.PS256, jose.PS384,
	jose.PS512, jose.RS256, jose.EdDSA}

// DPoPAlgorithms names the algorithms of proofs that are taken.
func DPoPAlgorithms() []string {
	names := make([]string, len(proofAlgorithms))
	for i, a := range proofAlgorithms {
		names[i] = string(a)
	}
	return names
}

// What may be wrong with a proof.
var (
	errProofs   = errors.New("want one DPoP proof")
	errProof    = errors.New("the DPoP proof is malformed, or its algorithm is not taken")
	errProofKey = errors.New("the DPoP proof is of another key than the token")
	errProofFor = errors.New("the DPoP proof is for another request or token")
	errProofAge = errors.New("the DPoP proof is not of this time")
	errProofOld = errors.New("the DPoP proof was shown before")
	errProofMem = errors.New("too many DPoP proofs are still valid")
)

// Memory remembers proofs until they are over, within bounded memory. It is safe for concurrent use.
type Memory struct {
	mu     sync.Mutex
	shards []*replay.Memory
}

// memoryShards is the number of parts of a memory. A key whose owner floods it fills one of them, and takes
// room from one in so many others at most.
const memoryShards = 256

// NewMemory returns a memory for at most so many proofs at a time.
func NewMemory(most int) *Memory {
	m := &Memory{shards: make([]*replay.Memory, memoryShards)}
	for i := range m.shards {
		m.shards[i] = replay.New(max(1, most/memoryShards))
	}
	return m
}

func (m *Memory) show(now time.Duration, key, id string, end time.Duration) replay.Verdict {
	h := fnv.New32a()
	io.WriteString(h, key)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shards[h.Sum32()%memoryShards].Show(now, key+"\x00"+id, end)
}

// checkProof reports what is wrong with the proof that came with a token bound to a key (RFC 9449, 4.3 and
// 7.1).
func checkProof(now time.Duration, s Shown, key string, skew time.Duration, m *Memory) error {
	if len(s.Proofs) != 1 || len(s.Proofs[0]) > proofMost || m == nil {
		return errProofs
	}
	proof, err := jose.ParseSignedCompact(s.Proofs[0], proofAlgorithms)
	if err != nil {
		return errProof
	}
	head := proof.Signatures[0].Protected
	if kind, _ := head.ExtraHeaders[jose.HeaderType].(string); kind != "dpop+jwt" || head.JSONWebKey == nil ||
		!head.JSONWebKey.Valid() || !head.JSONWebKey.IsPublic() {
		return errProof
	}
	print, err := head.JSONWebKey.Thumbprint(crypto.SHA256)
	if err != nil || base64.RawURLEncoding.EncodeToString(print) != key {
		return errProofKey
	}
	payload, err := proof.Verify(head.JSONWebKey)
	if err != nil {
		return errProof
	}
	var claims struct {
		ID     string   `json:"jti"`
		Method string   `json:"htm"`
		URL    string   `json:"htu"`
		Issued *float64 `json:"iat"`
		Hash   string   `json:"ath"`
	}
	if json.Unmarshal(payload, &claims) != nil || claims.ID == "" || claims.Issued == nil {
		return errProof
	}
	sum := sha256.Sum256([]byte(s.Token))
	if claims.Method != s.Method || !sameURL(claims.URL, s.URL) ||
		claims.Hash != base64.RawURLEncoding.EncodeToString(sum[:]) {
		return errProofFor
	}
	issued := time.Duration(*claims.Issued * float64(time.Second))
	if *claims.Issued < 0 || *claims.Issued > 9e9 || issued > now+skew || now > issued+proofLife+skew {
		return errProofAge
	}
	switch m.show(now, key, claims.ID, issued+proofLife+skew+1) {
	case replay.Seen:
		return errProofOld
	case replay.Full:
		return errProofMem
	}
	return nil
}

// sameURL compares URLs without query and fragment, after the normalization of RFC 3986, 6.2.2 and 6.2.3 that
// clients are likely to differ in: the case of scheme and host, the scheme's own port, an empty path.
func sameURL(a, b string) bool {
	x, ok1 := normal(a)
	y, ok2 := normal(b)
	return ok1 && ok2 && x == y
}

func normal(text string) (string, bool) {
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
