package placement_test

import _ "github.com/hatchplank/hatchplank/internal/fixedseed" // property tests repeat
