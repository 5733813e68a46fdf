//! Regular expressions as automata that take one step per byte, whatever the text.
//!
//! The regex crate's own engines take time that grows with the length of the text times that of the pattern; its DFAs,
//! built completely at load, do not. Their size and the work to build them are bounded, so that nested repetitions are
//! rejected at once.

use crate::bounds::{MAX_AUTOMATON_BUILD_BYTES, MAX_AUTOMATON_BYTES, MAX_PATTERN_BYTES};
use regex_automata::dfa::{dense, Automaton, StartKind};
use regex_automata::nfa::thompson;
use regex_automata::util::{start::Config as Start, syntax};
use regex_automata::{Anchored, MatchKind};
use std::collections::HashMap;

/// Compiled pattern.
pub struct Regex {
    automaton: dense::DFA<Vec<u32>>,
}

impl Regex {
    /// Builds the automaton. On failure returns a description of the patterns that are accepted.
    pub fn new(pattern: &str) -> Result<Self, String> {
        if pattern.len() > MAX_PATTERN_BYTES {
            return Err(format!("at most {MAX_PATTERN_BYTES} bytes"));
        }
        let automaton = dense::Builder::new()
            .configure(
                dense::Config::new()
                    .start_kind(StartKind::Unanchored)
                    .match_kind(MatchKind::All)
                    .dfa_size_limit(Some(MAX_AUTOMATON_BYTES))
                    .determinize_size_limit(Some(MAX_AUTOMATON_BUILD_BYTES)),
            )
            .syntax(syntax::Config::new().unicode(false).utf8(false).nest_limit(32))
            .thompson(thompson::Config::new().utf8(false).nfa_size_limit(Some(MAX_AUTOMATON_BUILD_BYTES)))
            .build(pattern)
            .map_err(|error| expected_pattern(&error))?;
        Ok(Self { automaton })
    }

    /// Returns whether the pattern matches anywhere in `text`, and the number of bytes read.
    pub fn search(&self, text: &[u8]) -> (bool, usize) {
        let dfa = &self.automaton;
        let Ok(mut state) = dfa.start_state(&Start::new().anchored(Anchored::No)) else { return (false, 0) };
        for (index, byte) in text.iter().enumerate() {
            state = dfa.next_state(state, *byte);
            if dfa.is_special_state(state) {
                if dfa.is_match_state(state) {
                    return (true, index + 1);
                }
                if dfa.is_dead_state(state) || dfa.is_quit_state(state) {
                    return (false, index + 1);
                }
            }
        }
        (dfa.is_match_state(dfa.next_eoi_state(state)), text.len())
    }

    /// Returns the size of the automaton in bytes.
    pub fn bytes(&self) -> usize {
        self.automaton.memory_usage()
    }
}

fn expected_pattern(error: &dense::BuildError) -> String {
    let mut cause: &dyn std::error::Error = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    let text = cause.to_string();
    let last = text.lines().last().unwrap_or("").trim();
    if error.is_size_limit_exceeded() || text.contains("size limit") || text.contains("exceed") {
        format!("a pattern whose automaton has at most {MAX_AUTOMATON_BYTES} bytes")
    } else {
        format!("a pattern of bytes ({last})")
    }
}

/// All patterns of a set, without duplicates.
#[derive(Default)]
pub struct Regexes {
    /// Compiled patterns by index.
    pub all: Vec<Regex>,
    numbers: HashMap<String, u32>,
}

impl Regexes {
    /// Returns the index of a pattern and compiles it if it is new.
    pub fn add(&mut self, pattern: &str) -> Result<u32, String> {
        if let Some(number) = self.numbers.get(pattern) {
            return Ok(*number);
        }
        let made = Regex::new(pattern)?;
        self.all.push(made);
        let number = self.all.len() as u32 - 1;
        self.numbers.insert(pattern.to_owned(), number);
        Ok(number)
    }

    /// Returns a pattern that was added before.
    pub fn find(&self, pattern: &str) -> Option<&Regex> {
        self.numbers.get(pattern).and_then(|n| self.all.get(*n as usize))
    }
}
