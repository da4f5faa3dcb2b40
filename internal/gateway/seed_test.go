package gateway

import _ "github.com/hatchplank/hatchplank/internal/fixedseed" // fixes the seed of the property tests
