package gateway

import _ "github.com/hatchplank/hatchplank/internal/fixedseed" // property tests repeat
