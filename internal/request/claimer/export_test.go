package claimer

// EncodeRow is encode for tests of the format.
var EncodeRow = encode
