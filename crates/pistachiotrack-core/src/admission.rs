//! Who gets the next free slot: contracts, classes and deadlines.
