//! Bounds on the work that rules may do for a request, and the cost in steps of each operation.
//!
//! A step is one operation, or reading or copying up to [`CHUNK_BYTES`] bytes. An operation that processes bytes one by
//! one (running an automaton, searching a substring, scanning for separators) takes one step per byte. Every cost is
//! monotone in the sizes of its inputs, so the cost at the largest sizes bounds the cost at any size.

/// Number of bytes compared or copied in one step.
pub const CHUNK_BYTES: usize = 8;
/// Maximum length in bytes of a name in the settings that rules may compare.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum length of a method in bytes.
pub const MAX_METHOD_BYTES: usize = 32;
/// Maximum total length in bytes of the strings that an expression builds.
pub const MAX_BUILT_BYTES: usize = 4_096;
/// Number of path segments that can be selected by index.
pub const MAX_SEGMENTS: usize = 32;
/// Maximum length in bytes of a text that `int` parses.
pub const MAX_INT_BYTES: usize = 20;
/// Maximum length of a regular expression in bytes.
pub const MAX_PATTERN_BYTES: usize = 1_024;
/// Maximum size in bytes of the automaton of one regular expression.
pub const MAX_AUTOMATON_BYTES: usize = 64 * 1024;
/// Maximum memory in bytes used to build one automaton.
pub const MAX_AUTOMATON_BUILD_BYTES: usize = 512 * 1024;
/// Maximum number of rules in a set.
pub const MAX_RULES: usize = 20_000;

/// Bounds of one set of rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum length in bytes of a request's path and query together.
    pub max_target_bytes: usize,
    /// Maximum length in bytes of a header that rules read.
    pub max_header_bytes: usize,
    /// Maximum number of steps for a request.
    pub max_steps: u64,
    /// Maximum size in bytes of the compiled set.
    pub max_bytes: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { max_target_bytes: 1_024, max_header_bytes: 256, max_steps: 10_000, max_bytes: 8 * 1024 * 1024 }
    }
}

/// Returns the steps to read or copy `bytes` bytes in chunks.
pub fn copy_cost(bytes: usize) -> u64 {
    bytes.div_ceil(CHUNK_BYTES) as u64
}

/// Returns the steps to compare texts of `a` and `b` bytes. A comparison reads no more than the length of the shorter
/// text.
pub fn compare_cost(a: usize, b: usize) -> u64 {
    1 + copy_cost(a.min(b))
}

/// Returns the steps of a binary search in a sorted list of texts.
pub fn search_cost(entries: usize, longest: usize, text: usize) -> u64 {
    (u64::from(usize::BITS - entries.leading_zeros()) + 1) * compare_cost(longest, text)
}

/// Returns the steps of a lookup in a hash table.
pub fn lookup_cost(text: usize) -> u64 {
    4 + 2 * copy_cost(text)
}

/// Returns the steps of a pass that processes each byte.
pub fn scan_cost(bytes: usize) -> u64 {
    2 + bytes as u64
}
