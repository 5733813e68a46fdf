//! Frames of stored values: a version, a checksum over key and content, and the content in postcard encoding.

use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

/// Version of the frames that are written.
pub const VERSION: u8 = 1;

/// Why a frame cannot be read.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    /// The frame is shorter than its header.
    #[error("{0} bytes, expected 5 at least")]
    Short(usize),
    /// The frame has another version.
    #[error("version {0}, expected {VERSION}")]
    Version(u8),
    /// The checksum does not match.
    #[error("checksum {found:08x}, expected {expected:08x}")]
    Checksum {
        /// The checksum in the frame.
        found: u32,
        /// The checksum of the content.
        expected: u32,
    },
    /// The content is not a value of the expected type.
    #[error("content that cannot be read: {0}")]
    Content(String),
}

fn checksum(key: &[u8], version: u8, content: &[u8]) -> u32 {
    let mut crc = crc32fast::Hasher::new();
    crc.update(key);
    crc.update(&[version]);
    crc.update(content);
    crc.finalize()
}

/// Encodes a value as a frame that is only valid under this key.
pub fn frame<T: Serialize>(key: &[u8], value: &T) -> Vec<u8> {
    let content = postcard::to_stdvec(value).unwrap_or_default();
    let mut out = Vec::with_capacity(content.len() + 5);
    out.push(VERSION);
    out.extend_from_slice(&checksum(key, VERSION, &content).to_le_bytes());
    out.extend_from_slice(&content);
    out
}

/// Decodes the value of a frame stored under this key.
pub fn unframe<T: DeserializeOwned>(key: &[u8], bytes: &[u8]) -> Result<T, FrameError> {
    postcard::from_bytes(checked_content(key, bytes)?).map_err(|e| FrameError::Content(e.to_string()))
}

/// Decodes the value of a frame stored under this key, and what follows it. Frames of earlier builds end with the value.
pub fn unframe_extended<T: DeserializeOwned, E: DeserializeOwned>(
    key: &[u8],
    bytes: &[u8],
) -> Result<(T, Option<E>), FrameError> {
    let unreadable = |e: postcard::Error| FrameError::Content(e.to_string());
    let (value, rest) = postcard::take_from_bytes(checked_content(key, bytes)?).map_err(unreadable)?;
    if rest.is_empty() {
        return Ok((value, None));
    }
    let extension = postcard::from_bytes(rest).map_err(unreadable)?;
    Ok((value, Some(extension)))
}

/// Returns the content of a frame whose checksum and version are right.
fn checked_content<'a>(key: &[u8], bytes: &'a [u8]) -> Result<&'a [u8], FrameError> {
    let (version, found, content) = match bytes {
        [version, a, b, c, d, content @ ..] => (*version, u32::from_le_bytes([*a, *b, *c, *d]), content),
        _ => return Err(FrameError::Short(bytes.len())),
    };
    let expected = checksum(key, version, content);
    if found != expected {
        return Err(FrameError::Checksum { found, expected });
    }
    if version != VERSION {
        return Err(FrameError::Version(version));
    }
    Ok(content)
}
