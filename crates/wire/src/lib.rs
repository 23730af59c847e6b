//! Encodings and message types at the edges of hornbeamloom.
