//! Encodings and message types at the edges of hornbeamloom.

pub mod error;
pub mod openai;
pub mod report;
pub mod sse;
