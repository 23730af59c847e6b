//! Encodings and message types at the edges of hornbeamloom.

pub mod frame;

pub use frame::Frame;
