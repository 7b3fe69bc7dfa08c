package follower

// Head is the value of the head row, for tests of the format.
type Head = head

// HeadKey names the head row.
const HeadKey = headKey

// GenerationKey is generationKey for tests of the format.
var GenerationKey = generationKey
