package table_test

import _ "github.com/hatchplank/hatchplank/internal/fixedseed" // makes property tests repeatable
