//! Codecs for the protocols that hornbeamloom speaks with callers, targets, peers and the platform.

pub mod frame;

pub use frame::Frame;
pub mod error;
pub mod etcd;
pub mod manifest;
pub mod openai;
pub mod report;
pub mod resource_file;
pub mod row_value;
pub mod sse;
pub mod table;
