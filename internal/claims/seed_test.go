package claims

import _ "github.com/hatchplank/hatchplank/internal/fixedseed" // fixes the seed
