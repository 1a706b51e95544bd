package election

// Holder identifies an incarnation of an entry instance that holds or claims a
// term.
type Holder struct {
	Name string `cbor:"1,keyasint"`
	// Address is the address at which the holder accepts links from other
	// instances.
	Address string `cbor:"2,keyasint"`
	// Nonce distinguishes incarnations at the same address.
	Nonce uint64 `cbor:"3,keyasint"`
}

// Term is the content of the newest term record of a cell. A term is the period
// during which one holder leads the cell.
type Term struct {
	Cell int
	// Epoch is the number of the term; 0 means that the cell has had no term.
	Epoch  int64
	Holder Holder
	// Previous is the epoch of the term before, or 0 if it is unknown.
	Previous int64
	// Released is set if the holder has given up the term.
	Released bool
	// LargestCPUShare is the largest CPU share, in cores, among the instances known
	// to the holder, or 0 if it is unknown.
	LargestCPUShare float64
	// Voters are the instances that confirm the holder while it can't renew the term.
	Voters []Voter
	// EndOffset is the log offset that follows the record.
	EndOffset int64
}
