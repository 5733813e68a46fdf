//! What bounds the work for a request, and the prices of all that may be done for it.
//!
//! A step is one operation, or the reading or copying of up to [`CHUNK`] bytes. Where an operation looks at each byte by
//! itself (an automaton, a search, a scan for separators), each byte is a step of its own. Every price is monotone in the
//! sizes of its inputs, so that the price at the largest sizes bounds the price at any.

/// Bytes that are compared or copied in one step.
pub const CHUNK_BYTES: usize = 8;
/// Most bytes of a name in the settings that rules may compare.
pub const MAX_NAME_BYTES: usize = 128;
/// Most bytes of a method.
pub const MAX_METHOD_BYTES: usize = 32;
/// Most bytes of a string that an expression builds.
pub const MAX_BUILT_BYTES: usize = 4_096;
/// Path segments that may be taken by their number.
pub const MAX_SEGMENTS: usize = 32;
/// Most bytes of a text read as a number.
pub const MAX_INT_BYTES: usize = 20;
/// Most bytes of a regular expression.
pub const MAX_PATTERN_BYTES: usize = 1_024;
/// Most bytes of the automaton of one regular expression.
pub const MAX_AUTOMATON_BYTES: usize = 64 * 1024;
/// Most bytes that the making of one automaton may take.
pub const MAX_AUTOMATON_BUILD_BYTES: usize = 512 * 1024;
/// Most rules of a set.
pub const MAX_RULES: usize = 20_000;

/// Bounds of one set of rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Most bytes of a request's path and query together.
    pub max_target_bytes: usize,
    /// Most bytes of a header that rules read.
    pub max_header_bytes: usize,
    /// Most steps that a request may cost.
    pub max_steps: u64,
    /// Most bytes that the compiled set may take.
    pub max_bytes: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { max_target_bytes: 1_024, max_header_bytes: 256, max_steps: 10_000, max_bytes: 8 * 1024 * 1024 }
    }
}

/// Steps for bytes taken in chunks.
pub fn copy_cost(bytes: usize) -> u64 {
    bytes.div_ceil(CHUNK_BYTES) as u64
}

/// Steps for a comparison of texts of such lengths: no more is read than the shorter one has.
pub fn compare_cost(a: usize, b: usize) -> u64 {
    1 + copy_cost(a.min(b))
}

/// Steps for a search in a sorted list of texts.
pub fn search_cost(entries: usize, longest: usize, text: usize) -> u64 {
    (u64::from(usize::BITS - entries.leading_zeros()) + 1) * compare_cost(longest, text)
}

/// Steps for a look-up in a hash table.
pub fn lookup_cost(text: usize) -> u64 {
    4 + 2 * copy_cost(text)
}

/// Steps for a pass that looks at each byte.
pub fn scan_cost(bytes: usize) -> u64 {
    2 + bytes as u64
}
