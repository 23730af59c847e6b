//! Values of table rows as daemons pass them on to each other.
//!
//! A configuration with many routes is hundreds of kilobytes of repetitive text. It is compressed
//! once, by the VM that reads it from the store, and every other VM keeps and forwards it as it is.
//! Short values stay as they are.

use std::borrow::Cow;
use std::io::{Read, Write};

use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;

/// First byte of a compressed value.
const COMPRESSED_TAG: u8 = 0x01;
/// Length in bytes from which values are compressed.
const MIN_COMPRESSED_BYTES: usize = 1 << 10;
/// Limit on the length of a decompressed value in bytes (16 MiB), so that a damaged value cannot
/// exhaust the memory of a VM.
const MAX_VALUE_BYTES: u64 = 16 << 20;

/// Why a value cannot be decoded.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The compressed data is damaged.
    #[error("damaged row value: {0}")]
    Damaged(#[from] std::io::Error),
    /// The value is longer than [`MAX_VALUE_BYTES`].
    #[error("row value of more than {MAX_VALUE_BYTES} bytes")]
    Oversized,
}

/// Encodes a value; long ones are compressed.
///
/// ```
/// use hornbeamloom_wire::row_value;
///
/// let long = vec![b'x'; 100_000];
/// assert!(row_value::encode(long.clone()).len() < 1_000);
/// assert_eq!(row_value::encode(b"{}".to_vec()), b"{}");
/// ```
pub fn encode(value: Vec<u8>) -> Vec<u8> {
    let is_ambiguous = value.first() == Some(&COMPRESSED_TAG);
    if value.len() < MIN_COMPRESSED_BYTES && !is_ambiguous {
        return value;
    }
    let mut encoder = DeflateEncoder::new(vec![COMPRESSED_TAG], Compression::fast());
    match encoder.write_all(&value).and_then(|()| encoder.finish()) {
        Ok(bytes) => bytes,
        // Writing to a vector does not fail.
        Err(_) => value,
    }
}

/// Decodes a value.
///
/// # Errors
///
/// An [`Error`] if the value is damaged or too long.
///
/// ```
/// use hornbeamloom_wire::row_value;
///
/// let long = vec![b'x'; 100_000];
/// let encoded = row_value::encode(long.clone());
/// assert_eq!(row_value::decode(&encoded).unwrap(), long);
/// ```
pub fn decode(bytes: &[u8]) -> Result<Cow<'_, [u8]>, Error> {
    let Some((&COMPRESSED_TAG, compressed)) = bytes.split_first() else {
        return Ok(Cow::Borrowed(bytes));
    };
    let mut value = Vec::new();
    DeflateDecoder::new(compressed).take(MAX_VALUE_BYTES + 1).read_to_end(&mut value)?;
    if value.len() as u64 > MAX_VALUE_BYTES {
        return Err(Error::Oversized);
    }
    Ok(Cow::Owned(value))
}
