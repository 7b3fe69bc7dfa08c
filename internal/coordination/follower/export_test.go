package follower

// Head is head, for tests of the row format.
type Head = head

// HeadKey is headKey, for tests of the row format.
const HeadKey = headKey

// GenerationKey is generationKey, for tests of the row format.
var GenerationKey = generationKey
