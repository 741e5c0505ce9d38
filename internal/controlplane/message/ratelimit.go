package message

// TokenRequest asks the allocator for tokens of tenants.
type TokenRequest struct {
	Epoch  uint64         `pb:"4"` // of the view whose allocator is asked
	Tokens []TenantTokens `pb:"15"`
	// LastGrant is the request whose grant was taken last: what was granted since has been given up.
	LastGrant uint64 `pb:"42"`
}

// Type is TypeTokenRequest.
func (*TokenRequest) Type() Type { return TypeTokenRequest }

// TokenGrant answers TokenRequest.
type TokenGrant struct {
	Epoch            uint64         `pb:"4"`
	OK               bool           `pb:"9"` // the allocator of that epoch has granted it
	Tokens           []TenantTokens `pb:"15"`
	ExhaustedTenants []string       `pb:"19"` // that may spend only what they were granted
}

// Type is TypeTokenGrant.
func (*TokenGrant) Type() Type { return TypeTokenGrant }

// TenantTokens is what is asked for, or granted, of a tenant's tokens. A token lets one request in.
type TenantTokens struct {
	Tenant string  `pb:"1"`
	Tokens float64 `pb:"2"`
	// in a TokenRequest: tokens that were spent beyond what was granted; repeated in the grant
	Spent float64 `pb:"3"`
}
