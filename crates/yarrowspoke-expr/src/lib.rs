//! Matching expressions: rules that classify requests, written in a small typed language.
//!
//! Two modules define policy: [`ruling`] defines what rules may do and how several of them are combined, and
//! [`buckets`] limits rates by a computed key. The others parse, type-check, bound, compile, index and run expressions.
//!
//! The language is a subset of CEL (the Common Expression Language): its names and operators, without macros, maps,
//! messages and conversions. Evaluation always ends: nesting is bounded, programs have no loops, and every operation
//! has a cost at the largest inputs. A set whose total cost exceeds the configured bound is rejected when it is loaded.

pub mod bounds;
pub mod buckets;
pub mod check;
mod index;
pub mod interpreter;
mod lex;
mod logic;
pub mod parse;
mod program;
mod regexes;
pub mod request;
pub mod ruling;
pub mod set;
pub mod syntax;
pub mod terms;
