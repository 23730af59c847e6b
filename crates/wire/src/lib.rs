//! Encodings and message types at the edges of hornbeamloom.

pub mod etcd;
pub mod manifest;
pub mod table;
