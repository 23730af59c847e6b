//! Encodings and message types at the edges of hornbeamloom.

pub mod frame;

pub use frame::Frame;
pub mod error;
pub mod etcd;
pub mod manifest;
pub mod openai;
pub mod report;
pub mod sse;
pub mod table;
