package election

// Holder is one process that may lead.
type Holder struct {
	Name string `cbor:"1,keyasint"`
	// Address is where the holder accepts links.
	Address string `cbor:"2,keyasint"`
	// Nonce differs between two processes at the same address.
	Nonce uint64 `cbor:"3,keyasint"`
}

// Term is the newest record of a cell.
type Term struct {
	Cell int
	// Epoch is the number of the term; 0 means that there is none yet.
	Epoch  int64
	Holder Holder
	// Released says that the holder has given the term up.
	Released bool
	// Largest is the largest share of a core of an instance that the holder
	// knew, or 0.
	Largest float64
	// End is the offset after the record.
	End int64
}
