package message

// TokenRequest requests rate-limit tokens for tenants from the allocator.
type TokenRequest struct {
	Epoch  uint64         `pb:"4"` // of the view whose allocator the request is for
	Tokens []TenantTokens `pb:"15"`
	// LastGrant is the id of the request whose grant was applied last. The sender has abandoned all later
	// grants.
	LastGrant uint64 `pb:"42"`
}

// Type is TypeTokenRequest.
func (*TokenRequest) Type() Type { return TypeTokenRequest }

// TokenGrant is the response to TokenRequest.
type TokenGrant struct {
	Epoch            uint64         `pb:"4"`
	OK               bool           `pb:"9"` // the allocator of that epoch granted the request
	Tokens           []TenantTokens `pb:"15"`
	ExhaustedTenants []string       `pb:"19"` // tenants that may spend no more than they were granted
}

// Type is TypeTokenGrant.
func (*TokenGrant) Type() Type { return TypeTokenGrant }

// TenantTokens is the number of a tenant's tokens that is requested or granted. One token admits one
// request.
type TenantTokens struct {
	Tenant string  `pb:"1"`
	Tokens float64 `pb:"2"`
	// Spent is, in a TokenRequest, the number of tokens that were spent beyond those granted. The grant repeats
	// it.
	Spent float64 `pb:"3"`
}
